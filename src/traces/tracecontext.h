#pragma once

#include <optional>
#include <string>

namespace cowsliphead
{

/// The trace and span identifiers of a hop, as the W3C traceparent header carries them. Thread safety: any thread.
struct TraceContext {
    std::string traceId_;
    std::string spanId_;

    /// The context of the root span of a new trace.
    static TraceContext start();

    /// Parses the value of a traceparent header; empty if it is not valid.
    static std::optional<TraceContext> parse(const std::string &traceparent);

    /// The context of a new child span of this one.
    TraceContext child() const;

    /// The value of the traceparent header.
    std::string toTraceparent() const;
};

} // namespace cowsliphead
