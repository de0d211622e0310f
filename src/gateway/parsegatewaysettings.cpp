#include "gateway/parsegatewaysettings.h"

#include <limits>

#include <nlohmann/json.hpp>

#include "http1/parsesocketaddress.h"
#include "records/fieldreader.h"
#include "records/jsontext.h"

namespace cowsliphead
{

namespace
{

constexpr std::uint64_t LargestPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t LargestReserve = 1000000;
constexpr std::uint64_t LargestPercent = 1000;
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

void readTraces(FieldReader &fields, GatewayDaemonSettings &settings)
{
    settings.traces_.file_ = fields.textOr("traceFile", {});
    settings.traces_.collectorHost_ = fields.textOr("traceCollectorHost", {});
    settings.traces_.collectorPort_ = static_cast<std::uint16_t>(fields.numberOr("traceCollectorPort", settings.traces_.collectorPort_, 1, LargestPort));
    settings.gateway_.isTraced_ = settings.traces_.isEnabled();
}

void readBounds(FieldReader &fields, GatewayDaemonSettings &settings)
{
    auto &bounds = settings.gateway_.bounds_;
    bounds.keyWithdrawal_ = fields.millisecondsOr("keyWithdrawalMs", bounds.keyWithdrawal_);
    bounds.configuration_ = fields.millisecondsOr("configurationMs", bounds.configuration_);
    bounds.stopGrace_ = fields.millisecondsOr("stopGraceMs", bounds.stopGrace_);
    bounds.retryRatio_ = static_cast<double>(fields.numberOr("retryPercent", 20, 0, LargestPercent)) / Percent;
    bounds.retryReserve_ = static_cast<double>(fields.numberOr("retryReserve", 0, 0, LargestReserve));
    settings.relay_.endpointLeaveBound_ = fields.millisecondsOr("endpointLeaveMs", settings.relay_.endpointLeaveBound_);
    settings.duty_.windowLength_ = fields.millisecondsOr("usageWindowMs", settings.duty_.windowLength_);
    settings.duty_.reportDeadline_ = fields.millisecondsOr("usageReportMs", settings.duty_.reportDeadline_);
    settings.duty_.leaseDuration_ = fields.millisecondsOr("leaseMs", settings.duty_.leaseDuration_);
    settings.duty_.stopGrace_ = bounds.stopGrace_;
}

} // namespace

tl::expected<GatewayDaemonSettings, InputError> parseGatewaySettings(const std::string &text)
{
    const auto document = parseJsonText(text, ErrorCode::SettingsMalformed);
    if (!document) {
        return tl::unexpected(document.error());
    }
    FieldReader fields(*document, "", ErrorCode::SettingsMalformed);
    GatewayDaemonSettings settings;
    readIdentity(fields, settings);
    readAddresses(fields, settings);
    readPeer(fields, settings);
    readTraces(fields, settings);
    readBounds(fields, settings);
    if (fields.firstError()) {
        return tl::unexpected(*fields.firstError());
    }
    return settings;
}

} // namespace cowsliphead
