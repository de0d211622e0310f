#pragma once

#include "logs/logevent.h"
#include "logs/loglevel.h"

namespace cowsliphead
{

/// What the catalogue says of an event.
struct EventDescription {
    LogEvent event_;
    LogLevel level_;
    const char *name_;
    const char *meaning_;
};

} // namespace cowsliphead
