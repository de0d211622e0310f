#pragma once

#include "logs/logformat.h"
#include "logs/loglevel.h"
#include "logs/logtarget.h"

namespace cowsliphead
{

/// Precondition: called once, before any task is started.
void setUpLogging(LogFormat format, LogLevel lowest, LogTarget target = LogTarget::StandardError);

/// Writes out what is queued. Precondition: called by the thread that ends the process.
void flushLog();

} // namespace cowsliphead
