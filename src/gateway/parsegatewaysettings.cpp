#include "gateway/parsegatewaysettings.h"

#include <limits>

#include <nlohmann/json.hpp>

#include "gateway/boundreader.h"
#include "http1/parsesocketaddress.h"
#include "records/fieldreader.h"
#include "records/jsontext.h"

namespace cowsliphead
{

namespace
{

constexpr std::uint64_t LargestPort = std::numeric_limits<std::uint16_t>::max();

/// In megabytes.
constexpr std::uint64_t LargestMemory = std::uint64_t(1) << 24U;
constexpr double LargestReserve = 1000000;
constexpr double LargestPercent = 1000;
constexpr double Percent = 100.0;

using ParseAddress = Result<SocketAddress> (*)(std::string_view);

SocketAddress readAddress(FieldReader &fields, const std::string &field, ParseAddress parse = parseSocketAddress)
{
    const auto text = fields.text(field);
    const auto address = parse(text);
    if (!address) {
        fields.report(field, text, "IP:PORT");
        return {};
    }
    return *address;
}

void readIdentity(FieldReader &fields, GatewayDaemonSettings &settings)
{
    settings.gateway_.instance_ = InstanceId(fields.text("instance"));
    settings.gateway_.domain_ = FailureDomain(fields.text("failureDomain"));
}

void readAddresses(FieldReader &fields, GatewayDaemonSettings &settings)
{
    settings.gateway_.callers_ = readAddress(fields, "callers", parseListenAddress);
    settings.gateway_.readiness_ = readAddress(fields, "readiness", parseListenAddress);
    settings.store_ = readAddress(fields, "store");
    settings.platform_ = readAddress(fields, "platform");
    settings.metrics_.port_ = static_cast<std::uint16_t>(fields.numberOr("metricsPort", 0, 0, LargestPort));
    settings.metrics_.address_ = settings.gateway_.callers_.host_;
    settings.metrics_.isEnabled_ = settings.metrics_.port_ != 0;
}

void readPeer(FieldReader &fields, GatewayDaemonSettings &settings)
{
    settings.relay_.domain_ = settings.gateway_.domain_;
    if (!fields.textOr("peer", {}).empty()) {
        const auto address = readAddress(fields, "peer", parseListenAddress);
        settings.relay_.address_ = PeerAddress{ address.host_, address.port_ };
    }
}

void readMemory(FieldReader &fields, GatewayDaemonSettings &settings)
{
    if (const auto megabytes = fields.numberOr("memoryMb", 0, 0, LargestMemory); megabytes > 0) {
        settings.gateway_.bufferLimit_ = bufferLimitOf(megabytes << 20U);
    }
}

void readTraces(FieldReader &fields, GatewayDaemonSettings &settings)
{
    settings.traces_.file_ = fields.textOr("traceFile", {});
    settings.traces_.collectorHost_ = fields.textOr("traceCollectorHost", {});
    settings.traces_.collectorPort_ = static_cast<std::uint16_t>(fields.numberOr("traceCollectorPort", settings.traces_.collectorPort_, 1, LargestPort));
    settings.gateway_.isTraced_ = settings.traces_.isEnabled();
}

/// Gives the durations of the settings file in milliseconds, or in seconds where the platform does so.
void readBounds(const nlohmann::json &document, GatewayDaemonSettings &settings)
{
    BoundReader fields(document);
    auto &bounds = settings.gateway_.bounds_;
    bounds.keyWithdrawal_ = fields.milliseconds("keyWithdrawalMs", bounds.keyWithdrawal_);
    bounds.configuration_ = fields.milliseconds("configurationMs", bounds.configuration_);
    bounds.stopGrace_ = fields.seconds("stopGraceS", fields.milliseconds("stopGraceMs", bounds.stopGrace_));
    bounds.retryRatio_ = fields.number("retryPercent", bounds.retryRatio_ * Percent, LargestPercent) / Percent;
    bounds.retryReserve_ = fields.number("retryReserve", bounds.retryReserve_, LargestReserve);
    auto &relay = settings.relay_;
    relay.endpointLeaveBound_ = fields.milliseconds("endpointLeaveMs", relay.endpointLeaveBound_);
    auto &duty = settings.duty_;
    duty.windowLength_ = fields.seconds("usageWindowS", fields.milliseconds("usageWindowMs", duty.windowLength_));
    duty.reportDeadline_ = fields.seconds("usageReportS", fields.milliseconds("usageReportMs", duty.reportDeadline_));
    duty.leaseDuration_ = fields.milliseconds("leaseMs", duty.leaseDuration_);
    duty.stopGrace_ = bounds.stopGrace_;
    settings.rejected_ = fields.rejected();
}

} // namespace

tl::expected<GatewayDaemonSettings, InputError> parseGatewaySettings(const std::string &text, const GatewayDaemonSettings &inForce)
{
    const auto document = parseJsonText(text, ErrorCode::SettingsMalformed);
    if (!document) {
        return tl::unexpected(document.error());
    }
    FieldReader fields(*document, "", ErrorCode::SettingsMalformed);
    GatewayDaemonSettings settings = inForce;
    readIdentity(fields, settings);
    readAddresses(fields, settings);
    readPeer(fields, settings);
    readMemory(fields, settings);
    readTraces(fields, settings);
    readBounds(*document, settings);
    if (fields.firstError()) {
        return tl::unexpected(*fields.firstError());
    }
    return settings;
}

} // namespace cowsliphead
