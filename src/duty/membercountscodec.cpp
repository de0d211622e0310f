#include "duty/membercountscodec.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"
#include "duty/windowcountscodec.h"

namespace cowsliphead::membercountscodec
{

std::string toText(const CountsByGateway &counts)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto &[gateway, member] : counts) {
        document["gateways"][gateway.value()] = { { "version", member.version_ }, { "counts", windowcountscodec::toText(member.counts_) } };
    }
    return document.dump();
}

Result<CountsByGateway> fromText(UsageWindow window, const std::string &text)
{
    const auto document = parseJson(text);
    if (!document.is_object() || !document.contains("gateways") || !document["gateways"].is_object()) {
        return failure(ErrorCode::CodecMalformed);
    }
    CountsByGateway counts;
    for (const auto &[gateway, member] : document["gateways"].items()) {
        const bool isValid = member.is_object() && member.contains("version") && member["version"].is_number_unsigned() && member.contains("counts")
            && member["counts"].is_string();
        if (!isValid) {
            return failure(ErrorCode::CodecMalformed);
        }
        const auto decoded = windowcountscodec::fromText(window, member["counts"].get<std::string>());
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        counts[InstanceId(gateway)] = { InstanceId(gateway), member["version"].get<std::uint64_t>(), *decoded };
    }
    return counts;
}

void merge(CountsByGateway &counts, const CountsByGateway &others)
{
    for (const auto &[gateway, member] : others) {
        const auto [found, isNew] = counts.try_emplace(gateway, member);
        if (!isNew && found->second.version_ < member.version_) {
            found->second = member;
        }
    }
}

} // namespace cowsliphead::membercountscodec
