#include "operate/parsesettings.h"

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
constexpr std::uint64_t MostUsageShards = 256;

using SectionMistake = std::optional<Mistake>;

std::uint16_t readPort(FieldReader &fields, std::uint64_t smallest)
{
    const auto port = fields.numberOr("port", 0, smallest, LargestPort);
    if (port < smallest) {
        fields.report("port", "nothing", "a port number");
    }
    return static_cast<std::uint16_t>(port);
}

std::chrono::milliseconds readPositive(FieldReader &fields, const std::string &field, std::chrono::milliseconds fallback)
{
    const auto duration = fields.millisecondsOr(field, fallback);
    if (duration.count() == 0) {
        fields.report(field, "0", "a positive number of milliseconds");
    }
    return duration;
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
    settings.tls_.certificate_ = fields.textOr("tlsCertificate", {});
    settings.tls_.key_ = fields.textOr("tlsKey", {});
    if (settings.tls_.certificate_.empty() != settings.tls_.key_.empty()) {
        fields.report("tlsKey", "one of two files", "tlsCertificate and tlsKey, or neither");
    }
    settings.drain_.announce_ = fields.millisecondsOr("drainAnnounceMs", settings.drain_.announce_);
    settings.drain_.quiet_ = fields.millisecondsOr("drainQuietMs", settings.drain_.quiet_);
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

SectionMistake readUsage(const nlohmann::json &section, UsageSettings &settings)
{
    FieldReader fields(section, "/usage", ErrorCode::SettingsMalformed);
    settings.shardCount_ = static_cast<std::uint32_t>(fields.numberOr("shards", settings.shardCount_, 1, MostUsageShards));
    settings.windowLength_ = readPositive(fields, "windowMs", settings.windowLength_);
    settings.flushInterval_ = readPositive(fields, "flushMs", settings.flushInterval_);
    settings.sealDelay_ = fields.millisecondsOr("sealDelayMs", settings.sealDelay_);
    fields.refuseOthers();
    return fields.mistake();
}

SectionMistake readPlatform(const nlohmann::json &section, PlatformSettings &settings)
{
    FieldReader fields(section, "/platform", ErrorCode::SettingsMalformed);
    settings.host_ = fields.textOr("host", settings.host_);
    settings.port_ = readPort(fields, 1);
    settings.timeout_ = fields.millisecondsOr("timeoutMs", settings.timeout_);
    fields.refuseOthers();
    return fields.mistake();
}

SectionMistake readMetrics(const nlohmann::json &section, MetricsSettings &settings)
{
    FieldReader fields(section, "/metrics", ErrorCode::SettingsMalformed);
    settings.isEnabled_ = true;
    settings.address_ = fields.textOr("address", settings.address_);
    settings.port_ = readPort(fields, 0);
    fields.refuseOthers();
    return fields.mistake();
}

SectionMistake readTraces(const nlohmann::json &section, TraceSettings &settings)
{
    FieldReader fields(section, "/traces", ErrorCode::SettingsMalformed);
    settings.file_ = fields.textOr("file", {});
    settings.collectorHost_ = fields.textOr("collectorHost", {});
    settings.collectorPort_ = static_cast<std::uint16_t>(fields.numberOr("collectorPort", settings.collectorPort_, 1, LargestPort));
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
    const auto *usage = fields.object("usage");
    const auto *platform = fields.object("platform");
    const auto *metrics = fields.object("metrics");
    const auto *traces = fields.object("traces");
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
    if (const auto mistake = usage == nullptr ? SectionMistake() : readUsage(*usage, settings.usage_)) {
        return tl::unexpected(*mistake);
    }
    if (const auto mistake = platform == nullptr ? SectionMistake() : readPlatform(*platform, settings.platform_)) {
        return tl::unexpected(*mistake);
    }
    if (const auto mistake = metrics == nullptr ? SectionMistake() : readMetrics(*metrics, settings.metrics_)) {
        return tl::unexpected(*mistake);
    }
    if (const auto mistake = traces == nullptr ? SectionMistake() : readTraces(*traces, settings.traces_)) {
        return tl::unexpected(*mistake);
    }
    return settings;
}

} // namespace cowsliphead
