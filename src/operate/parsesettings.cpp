#include "operate/parsesettings.h"

#include <limits>

#include <nlohmann/json.hpp>

#include "operate/parsepeeraddress.h"
#include "records/fieldreader.h"
#include "records/jsontext.h"

namespace cowsliphead
{

namespace
{

constexpr std::uint64_t LargestPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t LargestBodyBytes = std::uint64_t(1) << 30U;
constexpr std::uint64_t LargestRequestCount = 1000000;
constexpr std::uint64_t LargestShardCount = 256;

using SectionError = std::optional<InputError>;

std::uint16_t readPort(FieldReader &fields, std::uint64_t smallest)
{
    const auto port = fields.numberOr("port", 0, smallest, LargestPort);
    if (port < smallest) {
        fields.report("port", "nothing", "a port number");
    }
    return static_cast<std::uint16_t>(port);
}

std::chrono::milliseconds readPositiveMilliseconds(FieldReader &fields, const std::string &field, std::chrono::milliseconds fallback)
{
    const auto duration = fields.millisecondsOr(field, fallback);
    if (duration.count() == 0) {
        fields.report(field, "0", "a positive number of milliseconds");
    }
    return duration;
}

SectionError readCallers(const nlohmann::json &section, ServeSettings &settings)
{
    FieldReader fields(section, "/callers", ErrorCode::SettingsMalformed);
    settings.address_ = fields.textOr("address", settings.address_);
    settings.port_ = readPort(fields, 0);
    settings.limits_.maxBodyBytes_ = fields.numberOr("maxBodyBytes", settings.limits_.maxBodyBytes_, 1, LargestBodyBytes);
    settings.limits_.maxConcurrentRequests_ = fields.numberOr("maxConcurrentRequests", settings.limits_.maxConcurrentRequests_, 1, LargestRequestCount);
    settings.limits_.readTimeout_ = fields.millisecondsOr("readTimeoutMs", settings.limits_.readTimeout_);
    settings.limits_.writeTimeout_ = fields.millisecondsOr("writeTimeoutMs", settings.limits_.writeTimeout_);
    settings.tls_.certificate_ = fields.textOr("tlsCertificate", {});
    settings.tls_.key_ = fields.textOr("tlsKey", {});
    if (settings.tls_.certificate_.empty() != settings.tls_.key_.empty()) {
        fields.report("tlsKey", "only one of the two files", "tlsCertificate and tlsKey, or neither");
    }
    settings.drain_.announcePeriod_ = fields.millisecondsOr("drainAnnounceMs", settings.drain_.announcePeriod_);
    settings.drain_.quietPeriod_ = fields.millisecondsOr("drainQuietMs", settings.drain_.quietPeriod_);
    settings.drain_.grace_ = readPositiveMilliseconds(fields, "drainGraceMs", settings.drain_.grace_);
    fields.refuseUnknownFields();
    return fields.firstError();
}

SectionError readStore(const nlohmann::json &section, StoreSettings &settings)
{
    FieldReader fields(section, "/store", ErrorCode::SettingsMalformed);
    settings.host_ = fields.textOr("host", settings.host_);
    settings.port_ = readPort(fields, 1);
    settings.timeout_ = fields.millisecondsOr("timeoutMs", settings.timeout_);
    fields.refuseUnknownFields();
    return fields.firstError();
}

SectionError readUsage(const nlohmann::json &section, UsageSettings &settings)
{
    FieldReader fields(section, "/usage", ErrorCode::SettingsMalformed);
    settings.shardCount_ = static_cast<std::uint32_t>(fields.numberOr("shards", settings.shardCount_, 1, LargestShardCount));
    settings.windowLength_ = readPositiveMilliseconds(fields, "windowMs", settings.windowLength_);
    settings.flushInterval_ = readPositiveMilliseconds(fields, "flushMs", settings.flushInterval_);
    settings.sealDelay_ = fields.millisecondsOr("sealDelayMs", settings.sealDelay_);
    fields.refuseUnknownFields();
    return fields.firstError();
}

SectionError readPlatform(const nlohmann::json &section, PlatformSettings &settings)
{
    FieldReader fields(section, "/platform", ErrorCode::SettingsMalformed);
    settings.host_ = fields.textOr("host", settings.host_);
    settings.port_ = readPort(fields, 1);
    settings.timeout_ = fields.millisecondsOr("timeoutMs", settings.timeout_);
    fields.refuseUnknownFields();
    return fields.firstError();
}

SectionError readPeers(const nlohmann::json &section, PeerSettings &settings)
{
    FieldReader fields(section, "/peers", ErrorCode::SettingsMalformed);
    settings.address_.host_ = fields.textOr("address", settings.address_.host_);
    settings.address_.port_ = readPort(fields, 0);
    for (const auto &text : fields.texts("seeds")) {
        if (const auto seed = parsePeerAddress(text)) {
            settings.seeds_.push_back(*seed);
        } else {
            fields.report("seeds", text, "HOST:PORT");
        }
    }
    fields.refuseUnknownFields();
    return fields.firstError();
}

SectionError readMetrics(const nlohmann::json &section, MetricsSettings &settings)
{
    FieldReader fields(section, "/metrics", ErrorCode::SettingsMalformed);
    settings.isEnabled_ = true;
    settings.address_ = fields.textOr("address", settings.address_);
    settings.port_ = readPort(fields, 0);
    fields.refuseUnknownFields();
    return fields.firstError();
}

SectionError readTraces(const nlohmann::json &section, TraceSettings &settings)
{
    FieldReader fields(section, "/traces", ErrorCode::SettingsMalformed);
    settings.file_ = fields.textOr("file", {});
    settings.collectorHost_ = fields.textOr("collectorHost", {});
    settings.collectorPort_ = static_cast<std::uint16_t>(fields.numberOr("collectorPort", settings.collectorPort_, 1, LargestPort));
    fields.refuseUnknownFields();
    return fields.firstError();
}

/// Reads a section if it is present and no section before it had an error. Sets error to the first error of the section.
template <typename Settings>
void readSection(FieldReader &fields, const char *name, SectionError (*read)(const nlohmann::json &, Settings &), Settings &settings, SectionError &error)
{
    const auto *section = fields.object(name);
    if (section == nullptr || error) {
        return;
    }
    error = read(*section, settings);
}

} // namespace

tl::expected<DaemonSettings, InputError> parseSettings(const std::string &text)
{
    const auto document = parseJsonText(text, ErrorCode::SettingsMalformed);
    if (!document) {
        return tl::unexpected(document.error());
    }
    DaemonSettings settings;
    SectionError sectionMistake;
    FieldReader fields(*document, {}, ErrorCode::SettingsMalformed);
    settings.serve_.instance_ = InstanceId(fields.text("instance"));
    settings.serve_.failureDomain_ = FailureDomain(fields.text("failureDomain"));
    if (fields.object("store") == nullptr) {
        fields.report("store", "nothing", "an object");
    }
    readSection(fields, "callers", &readCallers, settings.serve_, sectionMistake);
    readSection(fields, "store", &readStore, settings.store_, sectionMistake);
    readSection(fields, "metrics", &readMetrics, settings.metrics_, sectionMistake);
    readSection(fields, "traces", &readTraces, settings.traces_, sectionMistake);
    readSection(fields, "usage", &readUsage, settings.usage_, sectionMistake);
    readSection(fields, "platform", &readPlatform, settings.platform_, sectionMistake);
    readSection(fields, "peers", &readPeers, settings.peers_, sectionMistake);
    fields.refuseUnknownFields();
    if (fields.firstError()) {
        return tl::unexpected(*fields.firstError());
    }
    if (sectionMistake) {
        return tl::unexpected(*sectionMistake);
    }
    return settings;
}

} // namespace cowsliphead
