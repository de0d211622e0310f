#pragma once

#include <cstdint>
#include <memory>
#include <utility>

#include "core/randomhex.h"
#include "core/result.h"
#include "gateway/dutytask.h"
#include "gateway/gateway.h"
#include "gateway/gatewaydaemonsettings.h"
#include "gateway/relaytask.h"
#include "logs/log.h"
#include "metrics/metricsbehaviour.h"
#include "task/listening.h"
#include "task/task.h"
#include "traces/spanexporterbehaviour.h"

namespace cowsliphead
{

/// Starts and connects the tasks of a gateway process on a platform. Thread safety: owner only.
template <PlatformAdapter P>
class GatewayDaemon
{
public:
    /// Starts all tasks. Returns the port for callers. Precondition: called once. Errors: ListenFailed.
    Result<std::uint16_t> start(const GatewayDaemonSettings &settings)
    {
        startTraces(settings);
        const InstanceId incarnation(settings.gateway_.instance_.value() + "-" + randomHex(IncarnationBytes));
        const auto port = startGateway(settings.gateway_);
        if (!port) {
            return port;
        }
        const auto peerPort = startRelay(settings, incarnation);
        if (!peerPort) {
            return peerPort;
        }
        startDuties(settings, incarnation);
        const auto metricsPort = startMetrics(settings.metrics_);
        if (!metricsPort) {
            return metricsPort;
        }
        logEvent(LogEvent::DaemonStarted,
                 { { "incarnation", incarnation.value() },
                   { "port", std::uint64_t(*port) },
                   { "peerPort", std::uint64_t(*peerPort) },
                   { "metricsPort", std::uint64_t(*metricsPort) },
                   { "bufferLimit", std::uint64_t(settings.gateway_.bufferLimit_) } });
        return port;
    }

    /// Applies the bounds of a changed settings file.
    void reload(const GatewayDaemonSettings &settings)
    {
        gateway_.send(settings.gateway_.bounds_);
    }

    /// Stops accepting callers, and returns once all responses are written.
    void drain()
    {
        logEvent(LogEvent::DrainStarted);
        duty_.send(DrainRequest{});
        relay_.send(DrainRequest{});
        gateway_.send(DrainRequest{});
        gateway_.join();
        duty_.send(UsageComplete{});
        duty_.join();
        relay_.stop();
        metrics_.stop();
        traces_.stop();
        logEvent(LogEvent::DaemonStopped);
    }

private:
    /// Random bytes that make the names of an instance's processes unique.
    static constexpr int IncarnationBytes = 4;

    using GatewayTask = Gateway<typename P::Dialect>;

    void startTraces(const GatewayDaemonSettings &settings)
    {
        if (settings.traces_.isEnabled()) {
            traces_.start([traces = settings.traces_, instance = settings.gateway_.instance_.value()](EventLoop &loop) {
                return std::make_unique<SpanExporterBehaviour>(loop, traces, instance);
            });
        }
    }

    Result<std::uint16_t> startGateway(const GatewaySettings &settings)
    {
        return startListening(
            gateway_,
            [settings, usage = duty_.template address<RequestStarted>(), spans = traces_.address<Span>(), crashes = relay_.template address<CrashReports>()](
                EventLoop &loop) { return std::make_unique<GatewayTask>(loop, settings, usage, spans, crashes); },
            [](GatewayTask &gateway) { return gateway.listen(); });
    }

    Result<std::uint16_t> startRelay(const GatewayDaemonSettings &settings, const InstanceId &incarnation)
    {
        const RelayLinks links{
            .snapshots_ = Address<FleetSnapshot>(
                [gateway = gateway_.template address<FleetSnapshot>(), duty = duty_.template address<FleetSnapshot>()](const FleetSnapshot &snapshot) {
                    gateway.send(snapshot);
                    duty.send(snapshot);
                }),
            .configurationConfirmations_ = gateway_.template address<ConfigurationConfirmed>(),
            .gatewayCounts_ = Address<GatewayCount>(
                [gateway = gateway_.template address<GatewayCount>(), duty = duty_.template address<GatewayCount>()](const GatewayCount &count) {
                    gateway.send(count);
                    duty.send(count);
                }),
            .loadQueries_ = gateway_.template address<LoadQuery>(),
            .loads_ = gateway_.template address<FleetLoad>(),
            .localLoads_ = relay_.template address<LocalLoad>(),
            .memberCounts_ = duty_.template address<MemberCounts>(),
            .countsStored_ = duty_.template address<CountsStored>(),
            .crashReports_ = gateway_.template address<CrashReports>(),
        };
        return startListening(
            relay_,
            [settings, incarnation, links](EventLoop &loop) { return std::make_unique<RelayTask<P>>(loop, settings, incarnation, links); },
            [](RelayTask<P> &relay) { return relay.listen(); });
    }

    void startDuties(const GatewayDaemonSettings &settings, const InstanceId &incarnation)
    {
        const UsageLinks links{ relay_.template address<MemberCounts>(), relay_.template address<CountsStored>() };
        duty_.start([settings, incarnation, links](EventLoop &loop) { return std::make_unique<DutyTask<P>>(loop, settings, incarnation, links); });
    }

    Result<std::uint16_t> startMetrics(const MetricsSettings &settings)
    {
        if (!settings.isEnabled_) {
            return 0;
        }
        const MetricsBehaviour::Sources sources{ gateway_.template address<MetricsQuery>() };
        return startListening(
            metrics_,
            [this, sources](EventLoop &loop) { return std::make_unique<MetricsBehaviour>(loop, sources, metrics_.address<MetricsReport>()); },
            [settings](MetricsBehaviour &behaviour) { return behaviour.listen(settings.address_, settings.port_); });
    }

    Task<GatewayTask> gateway_;
    Task<RelayTask<P>> relay_;
    Task<DutyTask<P>> duty_;
    Task<MetricsBehaviour> metrics_;
    Task<SpanExporterBehaviour> traces_;
};

} // namespace cowsliphead
