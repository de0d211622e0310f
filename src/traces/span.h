#pragma once

#include <map>
#include <string>

#include "core/time.h"
#include "traces/tracecontext.h"

namespace cowsliphead
{

/// One hop of a request, ended.
struct Span {
    TraceContext context_;

    /// Empty for the first span of a trace.
    std::string parentSpanId_;
    std::string name_;
    WallTime start_;
    WallTime end_;

    /// No value may hold a caller's key.
    std::map<std::string, std::string> attributes_;
};

} // namespace cowsliphead
