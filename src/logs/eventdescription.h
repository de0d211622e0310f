#pragma once

#include "logs/logevent.h"
#include "logs/loglevel.h"

namespace cowsliphead
{

/// An entry of the event catalogue.
struct EventDescription {
    LogEvent event_;
    LogLevel level_;
    const char *name_;
    const char *meaning_;
};

} // namespace cowsliphead
