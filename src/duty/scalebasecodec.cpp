#include "duty/scalebasecodec.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead::scalebasecodec
{

std::string toText(const ScaleRecord &record)
{
    auto list = nlohmann::json::array();
    for (const auto &[place, count] : record.base_) {
        nlohmann::json entry = { { "service", place.first.value() }, { "failureDomain", place.second.value() }, { "count", count } };
        const auto planned = record.planned_.find(place);
        if (planned != record.planned_.end()) {
            entry["planned"] = planned->second;
        }
        list.push_back(std::move(entry));
    }
    return list.dump();
}

Result<ScaleRecord> fromText(const std::string &text)
{
    try {
        const auto document = parseJson(text);
        if (!document.is_array()) {
            return failure(ErrorCode::CodecMalformed);
        }
        ScaleRecord record;
        for (const auto &entry : document) {
            const ServiceName service(entry.at("service").get<std::string>());
            const FailureDomain domain(entry.at("failureDomain").get<std::string>());
            record.base_[{ service, domain }] = entry.at("count").get<std::uint32_t>();
            if (entry.contains("planned")) {
                record.planned_[{ service, domain }] = entry.at("planned").get<std::uint32_t>();
            }
        }
        return record;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead::scalebasecodec
