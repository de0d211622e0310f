#include "relay/relayentrycodec.h"

#include <cstring>
#include <limits>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "core/parsejson.h"

namespace cowsliphead::relayentrycodec
{

std::string keyOf(const FailureDomain &domain)
{
    return Prefix + domain.value();
}

std::string toText(const GatewayMember &relay)
{
    return nlohmann::json{ { "incarnation", relay.incarnation_.value() }, { "host", relay.address_.host_ }, { "port", relay.address_.port_ } }.dump();
}

Result<RelayEntry> fromEntry(const StoreEntry &entry)
{
    const auto document = parseJson(entry.value_);
    const auto hasText = [&document](const char *field) { return document.contains(field) && document[field].is_string(); };
    const bool isValid = document.is_object() && hasText("incarnation") && hasText("host") && document.contains("port") && document["port"].is_number_unsigned()
        && document["port"] <= std::numeric_limits<std::uint16_t>::max();
    if (!isValid || entry.key_.size() <= std::strlen(Prefix)) {
        return failure(ErrorCode::CodecMalformed);
    }
    RelayEntry decoded;
    decoded.relay_.incarnation_ = InstanceId(document["incarnation"].get<std::string>());
    decoded.relay_.domain_ = FailureDomain(entry.key_.substr(std::strlen(Prefix)));
    decoded.relay_.address_ = PeerAddress{ document["host"].get<std::string>(), document["port"].get<std::uint16_t>() };
    decoded.revision_ = entry.revision_;
    return decoded;
}

} // namespace cowsliphead::relayentrycodec
