#include "operate/parsesettings.h"

#include <charconv>
#include <limits>

#include <nlohmann/json.hpp>

#include "records/fieldreader.h"
#include "records/jsontext.h"

namespace cowsliphead
{

namespace
{

constexpr std::uint64_t LargestPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t LargestBody = std::uint64_t(1) << 30U;
constexpr std::uint64_t MostRequests = 1000000;

using SectionMistake = std::optional<Mistake>;

std::uint16_t readPort(FieldReader &fields, std::uint64_t smallest)
{
    const auto port = fields.numberOr("port", 0, smallest, LargestPort);
    if (port < smallest) {
        fields.report("port", "nothing", "a port number");
    }
    return static_cast<std::uint16_t>(port);
}

SectionMistake readCallers(const nlohmann::json &section, ServeSettings &settings)
{
    FieldReader fields(section, "/callers", ErrorCode::SettingsMalformed);
    settings.address_ = fields.textOr("address", settings.address_);
    settings.port_ = readPort(fields, 0);
    settings.limits_.maxBodyBytes_ = fields.numberOr("maxBodyBytes", settings.limits_.maxBodyBytes_, 1, LargestBody);
    settings.limits_.maxConcurrentRequests_ = fields.numberOr("maxConcurrentRequests", settings.limits_.maxConcurrentRequests_, 1, MostRequests);
    settings.limits_.readTimeout_ = fields.millisecondsOr("readTimeoutMs", settings.limits_.readTimeout_);
    settings.limits_.writeTimeout_ = fields.millisecondsOr("writeTimeoutMs", settings.limits_.writeTimeout_);
    fields.refuseOthers();
    return fields.mistake();
}

SectionMistake readStore(const nlohmann::json &section, StoreSettings &settings)
{
    FieldReader fields(section, "/store", ErrorCode::SettingsMalformed);
    settings.host_ = fields.textOr("host", settings.host_);
    settings.port_ = readPort(fields, 1);
    settings.timeout_ = fields.millisecondsOr("timeoutMs", settings.timeout_);
    fields.refuseOthers();
    return fields.mistake();
}

/// An address as HOST:PORT.
std::optional<PeerAddress> peerAddressFrom(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto *digits = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
    const auto parsed = std::from_chars(digits, end, port);
    if (colon == 0 || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    return PeerAddress{ text.substr(0, colon), port };
}

SectionMistake readPeers(const nlohmann::json &section, PeerSettings &settings)
{
    FieldReader fields(section, "/peers", ErrorCode::SettingsMalformed);
    settings.address_.host_ = fields.textOr("address", settings.address_.host_);
    settings.address_.port_ = readPort(fields, 0);
    for (const auto &text : fields.texts("seeds")) {
        if (const auto seed = peerAddressFrom(text)) {
            settings.seeds_.push_back(*seed);
        } else {
            fields.report("seeds", text, "HOST:PORT");
        }
    }
    fields.refuseOthers();
    return fields.mistake();
}

} // namespace

tl::expected<DaemonSettings, Mistake> parseSettings(const std::string &text)
{
    const auto document = parseJsonText(text, ErrorCode::SettingsMalformed);
    if (!document) {
        return tl::unexpected(document.error());
    }
    DaemonSettings settings;
    FieldReader fields(*document, {}, ErrorCode::SettingsMalformed);
    settings.serve_.instance_ = InstanceId(fields.text("instance"));
    settings.serve_.failureDomain_ = FailureDomain(fields.text("failureDomain"));
    const auto *callers = fields.object("callers");
    const auto *store = fields.object("store");
    const auto *peers = fields.object("peers");
    if (store == nullptr) {
        fields.report("store", "nothing", "an object");
    }
    fields.refuseOthers();
    if (fields.mistake()) {
        return tl::unexpected(*fields.mistake());
    }
    if (const auto mistake = callers == nullptr ? SectionMistake() : readCallers(*callers, settings.serve_)) {
        return tl::unexpected(*mistake);
    }
    if (const auto mistake = readStore(*store, settings.store_)) {
        return tl::unexpected(*mistake);
    }
    if (const auto mistake = peers == nullptr ? SectionMistake() : readPeers(*peers, settings.peers_)) {
        return tl::unexpected(*mistake);
    }
    return settings;
}

} // namespace cowsliphead
