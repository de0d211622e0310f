#pragma once

#include <initializer_list>

#include "logs/logevent.h"
#include "logs/logfield.h"

namespace cowsliphead
{

/// Writes an event of normal operation to the log. Each task may write a limited number of these events per second; LinesOmitted reports
/// how many were dropped. No field may hold a caller's API key. Thread safety: any thread.
void logRateLimited(LogEvent event, std::initializer_list<LogField> fields = {});

/// Writes an event to the log. No field may hold a caller's API key. Thread safety: any thread.
void logEvent(LogEvent event, std::initializer_list<LogField> fields = {});

} // namespace cowsliphead
