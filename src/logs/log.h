#pragma once

#include <initializer_list>

#include "logs/logevent.h"
#include "logs/logfield.h"

namespace cowsliphead
{

/// Writes an event of the usual course, unless too many of them were written in this second by this task; a line then tells how many
/// are missing. No field may hold a caller's key. Thread safety: any thread.
void logRateLimited(LogEvent event, std::initializer_list<LogField> fields = {});

/// Writes an event to the log. No field may hold a caller's key. Thread safety: any thread.
void logEvent(LogEvent event, std::initializer_list<LogField> fields = {});

} // namespace cowsliphead
