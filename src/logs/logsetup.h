#pragma once

#include <string>

#include "logs/logformat.h"
#include "logs/loglevel.h"
#include "logs/logtarget.h"

namespace cowsliphead
{

/// Precondition: called once, before any task is started.
void setUpLogging(LogFormat format, LogLevel lowest, LogTarget target = LogTarget::StandardError);

/// Names this process in each line from now on. Precondition: called before any task is started.
void setLogInstance(const std::string &instance);

/// Writes out what is queued. False if the reader stalls: the process then has to end without waiting for the log's thread.
/// Precondition: called by the thread that ends the process.
bool flushLog();

} // namespace cowsliphead
