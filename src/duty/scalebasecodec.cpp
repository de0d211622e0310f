#include "duty/scalebasecodec.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead::scalebasecodec
{

std::string toText(const ScaleBase &base)
{
    auto list = nlohmann::json::array();
    for (const auto &[place, count] : base) {
        list.push_back({ { "service", place.first.value() }, { "failureDomain", place.second.value() }, { "count", count } });
    }
    return list.dump();
}

Result<ScaleBase> fromText(const std::string &text)
{
    try {
        const auto document = parseJson(text);
        if (!document.is_array()) {
            return failure(ErrorCode::CodecMalformed);
        }
        ScaleBase base;
        for (const auto &entry : document) {
            const ServiceName service(entry.at("service").get<std::string>());
            const FailureDomain domain(entry.at("failureDomain").get<std::string>());
            base[{ service, domain }] = entry.at("count").get<std::uint32_t>();
        }
        return base;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead::scalebasecodec
