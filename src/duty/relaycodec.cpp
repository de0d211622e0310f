#include "duty/relaycodec.h"

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead::relaycodec
{

std::string slotPrefix(const FailureDomain &domain)
{
    return "relay/" + domain.value() + "/";
}

std::string slotKey(const FailureDomain &domain, std::size_t slot)
{
    return slotPrefix(domain) + std::to_string(slot);
}

std::string encodeHolder(const Member &member)
{
    const nlohmann::json document = {
        { "instance", member.instance_.value() }, { "failureDomain", member.failureDomain_.value() },
        { "host", member.address_.host_ },        { "port", member.address_.port_ },
        { "incarnation", member.incarnation_ },   { "heartbeat", member.heartbeat_ },
    };
    return document.dump();
}

Result<Member> decodeHolder(const std::string &text)
{
    try {
        const auto document = parseJson(text);
        Member member;
        member.instance_ = InstanceId(document.at("instance").get<std::string>());
        member.failureDomain_ = FailureDomain(document.at("failureDomain").get<std::string>());
        member.address_ = PeerAddress{ document.at("host").get<std::string>(), document.at("port").get<std::uint16_t>() };
        member.incarnation_ = document.at("incarnation").get<std::uint64_t>();
        member.heartbeat_ = document.at("heartbeat").get<std::uint64_t>();
        member.isRelay_ = true;
        return member;
    } catch (const nlohmann::json::exception &) {
        return failure(ErrorCode::CodecMalformed);
    }
}

} // namespace cowsliphead::relaycodec
