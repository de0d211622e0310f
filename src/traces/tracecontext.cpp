#include "traces/tracecontext.h"

#include <algorithm>

#include "core/randomhex.h"

namespace cowsliphead
{

namespace
{

constexpr int TraceIdBytes = 16;
constexpr int SpanIdBytes = 8;

/// Offsets and lengths of the fields in "00-TRACEID-SPANID-FLAGS".
constexpr std::size_t TraceIdOffset = 3;
constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t SpanIdOffset = 36;
constexpr std::size_t SpanIdLength = 16;
constexpr std::size_t TraceparentLength = 55;

bool isIdentifier(const std::string &text)
{
    const bool isHex = text.find_first_not_of("0123456789abcdef") == std::string::npos;
    return isHex && text.find_first_not_of('0') != std::string::npos;
}

} // namespace

TraceContext TraceContext::start()
{
    return { randomHex(TraceIdBytes), randomHex(SpanIdBytes) };
}

std::optional<TraceContext> TraceContext::parse(const std::string &traceparent)
{
    if (traceparent.size() != TraceparentLength || !traceparent.starts_with("00-")) {
        return std::nullopt;
    }
    const TraceContext context{ traceparent.substr(TraceIdOffset, TraceIdLength), traceparent.substr(SpanIdOffset, SpanIdLength) };
    const bool hasSeparators = traceparent[SpanIdOffset - 1] == '-' && traceparent[SpanIdOffset + SpanIdLength] == '-';
    if (!hasSeparators || !isIdentifier(context.traceId_) || !isIdentifier(context.spanId_)) {
        return std::nullopt;
    }
    return context;
}

TraceContext TraceContext::child() const
{
    return { traceId_, randomHex(SpanIdBytes) };
}

std::string TraceContext::toTraceparent() const
{
    return "00-" + traceId_ + "-" + spanId_ + "-01";
}

} // namespace cowsliphead
