#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <variant>

#include "fleet/configurationconfirmed.h"
#include "fleet/fleetsnapshot.h"
#include "fleet/gatewaycount.h"
#include "gateway/callersession.h"
#include "gateway/fleetexchange.h"
#include "gateway/gatewaycontext.h"
#include "gateway/readinessserver.h"
#include "http1/listener.h"
#include "metrics/gauge.h"
#include "metrics/metricsquery.h"
#include "metrics/metricsreport.h"
#include "relay/fleetload.h"
#include "relay/loadquery.h"
#include "serve/drainrequest.h"

namespace cowsliphead
{

/// Serves callers; owns the connections to callers and to endpoints. Thread safety: the loop's task only.
template <Dialect D>
class Gateway
{
public:
    using Message =
        std::variant<FleetSnapshot, ConfigurationConfirmed, GatewayCount, FleetLoad, LoadQuery, GatewayBounds, DrainRequest, MetricsQuery, CrashReports>;

    /// usage and spans receive a message for each request, crashes one for each change of what this gateway knows of requests that crash
    /// endpoints. Precondition: the loop outlives the gateway.
    Gateway(EventLoop &loop, GatewaySettings settings, Address<RequestStarted> usage, Address<Span> spans, Address<CrashReports> crashes)
        : context_{ .loop_ = loop,
                    .settings_ = std::move(settings),
                    .usage_ = std::move(usage),
                    .spans_ = std::move(spans),
                    .crashReports_ = std::move(crashes),
                    .incarnationQuery_ = incarnationQuery() }
        , listener_(loop, [this](int socket) { accept(socket); })
        , readiness_(loop, [this] { return isReady(); })
        , drain_(loop, [this] { continueDrain(); })
    {
    }

    /// Returns the port for callers. Errors: ListenFailed.
    Result<std::uint16_t> listen()
    {
        const auto ready = readiness_.listen(context_.settings_.readiness_);
        return ready ? listener_.listen(context_.settings_.callers_) : ready;
    }

    void receive(Message message)
    {
        std::visit([this](auto &&part) { this->handle(std::forward<decltype(part)>(part)); }, std::move(message));
    }

private:
    static constexpr std::chrono::milliseconds DrainInterval{ 50 };

    /// Time within which the first request arrives on a new connection: two round trips to a caller.
    static constexpr std::chrono::milliseconds FirstRequestTime{ 200 };

    static IncarnationQuery incarnationQuery()
    {
        return { D::stateRequest, D::readIncarnation };
    }

    void handle(FleetSnapshot snapshot)
    {
        const bool isNew = snapshot.configuration_ && (!context_.configuration_ || snapshot.configuration_->revision_ > context_.configuration_->revision_);
        if (isNew) {
            context_.configuration_ = std::move(snapshot.configuration_);
            for (const auto &[number, session] : sessions_) {
                session->connection().setLimits(context_.configuration_->limits_);
            }
        }
        context_.endpoints_.update(*snapshot.endpoints_, context_.clock_.now(), context_.clock_.wallNow());
        context_.roomChanged();
        logEvent(LogEvent::EndpointsUpdated,
                 { { "listed", std::uint64_t(snapshot.endpoints_->size()) },
                   { "prefill", context_.endpoints_.countOf(EngineStage::Prefill) },
                   { "decode", context_.endpoints_.countOf(EngineStage::Decode) } });
    }

    void handle(const ConfigurationConfirmed &confirmation)
    {
        context_.age_.confirmed(confirmation.askedAt_);
    }

    void handle(const GatewayCount &count)
    {
        context_.gatewayCount_ = count.count_;
    }

    void handle(const FleetLoad &load)
    {
        fleetexchange::take(context_, load);
        context_.roomChanged();
    }

    void handle(const CrashReports &reports)
    {
        context_.crashes_.merge(reports, context_.clock_.now());
        context_.crashesChanged();
    }

    void handle(const LoadQuery &query)
    {
        query.answerTo_.send(fleetexchange::localLoad(context_));
    }

    /// Applies changed bounds to later checks. Nothing that was decided under the old bounds is revised; a drain that has begun keeps its
    /// schedule.
    void handle(const GatewayBounds &bounds)
    {
        context_.settings_.bounds_ = bounds;
        for (auto &[service, retryBudget] : context_.retryBudgets_) {
            retryBudget.setBounds(bounds.retryRatio_, bounds.retryReserve_);
        }
    }

    void handle(const MetricsQuery &query)
    {
        const auto era = gaugeText("cowsliphead_gateway_store_era",
                                   "Era of the store that told the configuration in force; 0 if it tells none.",
                                   context_.configuration_ ? context_.configuration_->revision_.era_ : 0);
        query.answerTo_.send(MetricsReport{ query.query_, context_.metrics_.toText() + era });
    }

    void handle(const DrainRequest & /*request*/)
    {
        context_.drain_.emplace(context_.clock_.now(), context_.settings_.bounds_.stopGrace_);
        for (const auto &[number, session] : sessions_) {
            session->connection().announceClose();
        }
        drain_.startRepeating(DrainInterval);
    }

    void continueDrain()
    {
        const auto now = context_.clock_.now();
        if (context_.drain_->mayGetNewCallers(now)) {
            return;
        }
        for (const auto &[number, session] : sessions_) {
            if (context_.drain_->isEnding(now)) {
                session->onProcessStopping();
            }
            if (now - session->acceptedAt() > FirstRequestTime) {
                session->connection().closeWhenIdle();
            }
        }
        if (sessions_.empty() || context_.drain_->isOver(now)) {
            context_.loop_.stop();
        }
    }

    bool isReady() const
    {
        return !context_.drain_ && context_.configuration_ && !context_.endpoints_.isEmpty();
    }

    void accept(int socket)
    {
        const auto number = ++nextNumber_;
        const auto limits = context_.configuration_ ? context_.configuration_->limits_ : CallerConnectionLimits();
        auto session = std::make_unique<CallerSession<D>>(context_, socket, limits, [this, number] { sessions_.erase(number); });
        if (context_.drain_) {
            session->connection().announceClose();
        }
        sessions_.emplace(number, std::move(session));
    }

    GatewayContext context_;
    std::uint64_t nextNumber_ = 0;
    std::map<std::uint64_t, std::unique_ptr<CallerSession<D>>> sessions_;
    Listener listener_;
    ReadinessServer readiness_;
    Timer drain_;
};

} // namespace cowsliphead
