#pragma once

#include <map>
#include <string>

#include "core/time.h"
#include "traces/tracecontext.h"

namespace cowsliphead
{

/// A completed span: one hop of a request.
struct Span {
    TraceContext context_;

    /// Empty for the root span of a trace.
    std::string parentSpanId_;
    std::string name_;
    WallTime start_;
    WallTime end_;

    /// No value may hold a caller's API key.
    std::map<std::string, std::string> attributes_;
};

} // namespace cowsliphead
