#pragma once

#include <string>

#include "logs/logformat.h"
#include "logs/loglevel.h"
#include "logs/logtarget.h"

namespace cowsliphead
{

/// Configures the log; events below minLevel are not written. Precondition: called once, before any task is started.
void setUpLogging(LogFormat format, LogLevel minLevel, LogTarget target = LogTarget::StandardError);

/// Sets the instance name that each later line in JSON format carries. Precondition: called before any task is started.
void setLogInstance(const std::string &instance);

/// Writes the queued lines and closes the log. Returns false if the reader of standard output stalls: the process then has to exit
/// without waiting for the log's thread. Precondition: called by the thread that exits the process.
bool flushLog();

} // namespace cowsliphead
