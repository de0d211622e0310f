#pragma once

#include "logs/logformat.h"
#include "logs/loglevel.h"

namespace cowsliphead
{

/// Sends the log to standard error. Precondition: called once, before any task is started.
void setUpLogging(LogFormat format, LogLevel lowest);

} // namespace cowsliphead
