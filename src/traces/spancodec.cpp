#include "traces/spancodec.h"

#include <chrono>

#include <nlohmann/json.hpp>

#include "traces/span.h"

namespace cowsliphead
{

namespace
{

/// OTLP's SPAN_KIND_SERVER.
constexpr int ServerKind = 2;

std::string toUnixNanoseconds(WallTime time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

nlohmann::json attribute(const std::string &name, const std::string &value)
{
    return { { "key", name }, { "value", { { "stringValue", value } } } };
}

nlohmann::json spanToJson(const Span &span)
{
    auto attributes = nlohmann::json::array();
    for (const auto &[name, value] : span.attributes_) {
        attributes.push_back(attribute(name, value));
    }
    return {
        { "traceId", span.context_.traceId_ },
        { "spanId", span.context_.spanId_ },
        { "parentSpanId", span.parentSpanId_ },
        { "name", span.name_ },
        { "kind", ServerKind },
        { "startTimeUnixNano", toUnixNanoseconds(span.start_) },
        { "endTimeUnixNano", toUnixNanoseconds(span.end_) },
        { "attributes", attributes },
    };
}

} // namespace

std::string encodeSpans(const std::string &instance, const std::vector<Span> &spans)
{
    auto list = nlohmann::json::array();
    for (const auto &span : spans) {
        list.push_back(spanToJson(span));
    }
    const auto resource = nlohmann::json::array({ attribute("service.name", "cowsliphead"), attribute("service.instance.id", instance) });
    const nlohmann::json scope = { { "scope", { { "name", "cowsliphead" } } }, { "spans", list } };
    const nlohmann::json document = {
        { "resourceSpans", nlohmann::json::array({ { { "resource", { { "attributes", resource } } }, { "scopeSpans", nlohmann::json::array({ scope }) } } }) }
    };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cowsliphead
