#pragma once

#include <optional>
#include <string>

namespace cowsliphead
{

/// The place of a hop in a trace, as W3C's traceparent carries it.
struct TraceContext {
    std::string traceId_;
    std::string spanId_;

    /// A context that starts a trace of its own. Thread safety: any thread.
    static TraceContext start();

    /// Nothing if the text is no valid traceparent. Thread safety: any thread.
    static std::optional<TraceContext> parse(const std::string &traceparent);

    /// A new span below this one. Thread safety: any thread.
    TraceContext child() const;

    /// The header's value. Thread safety: any thread.
    std::string toTraceparent() const;
};

} // namespace cowsliphead
