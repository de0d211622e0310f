#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <variant>

#include "fleet/fleetsnapshot.h"
#include "fleet/gatewaycount.h"
#include "fleet/lookconfirmed.h"
#include "gateway/callersession.h"
#include "gateway/gatewaycontext.h"
#include "gateway/readinessserver.h"
#include "http1/listener.h"
#include "metrics/metricsquery.h"
#include "metrics/metricsreport.h"
#include "serve/drainrequest.h"

namespace cowsliphead
{

/// The task that serves callers: it owns their connections and those to endpoints.
template <Dialect D>
class Gateway
{
public:
    using Message = std::variant<FleetSnapshot, LookConfirmed, GatewayCount, DrainRequest, MetricsQuery>;

    /// Precondition: the loop outlives the gateway. Thread safety: the loop's task only.
    Gateway(EventLoop &loop, GatewaySettings settings, Address<RequestBegun> usage)
        : context_{ .loop_ = loop, .settings_ = std::move(settings), .usage_ = std::move(usage) }
        , listener_(loop, [this](int socket) { accept(socket); })
        , readiness_(loop, [this] { return isReady(); })
        , drain_(loop, [this] { continueDrain(); })
    {
    }

    /// Returns the port towards callers. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen()
    {
        const auto ready = readiness_.listen(context_.settings_.readiness_);
        return ready ? listener_.listen(context_.settings_.callers_) : ready;
    }

    /// Thread safety: the loop's task only.
    void receive(Message message)
    {
        std::visit([this](auto &&part) { this->take(std::forward<decltype(part)>(part)); }, std::move(message));
    }

private:
    /// The balancer takes an instance out after two answers of 503, one a second; callers come until then.
    static constexpr std::chrono::milliseconds CallersLeave{ 3000 };

    /// What is left of the grace when the last answers are cut.
    static constexpr std::chrono::milliseconds StopMargin{ 500 };
    static constexpr std::chrono::milliseconds DrainInterval{ 50 };

    void take(FleetSnapshot snapshot)
    {
        const bool isNew = snapshot.configuration_ && (!context_.configuration_ || snapshot.configuration_->revision_ > context_.configuration_->revision_);
        if (isNew) {
            context_.configuration_ = std::move(snapshot.configuration_);
        }
        context_.endpoints_.update(*snapshot.endpoints_);
        logEvent(LogEvent::EndpointsUpdated,
                 { { "listed", std::uint64_t(snapshot.endpoints_->size()) },
                   { "prefill", context_.endpoints_.countOf(EngineStage::Prefill) },
                   { "decode", context_.endpoints_.countOf(EngineStage::Decode) } });
    }

    void take(const LookConfirmed &look)
    {
        context_.age_.confirmed(look.askedAt_);
    }

    void take(const GatewayCount &count)
    {
        context_.gatewayCount_ = count.count_;
    }

    void take(const MetricsQuery &query)
    {
        query.answerTo_.send(MetricsReport{ query.query_, context_.metrics_.toText() });
    }

    void take(const DrainRequest & /*request*/)
    {
        isDraining_ = true;
        drainStartedAt_ = context_.clock_.now();
        for (const auto &[number, session] : sessions_) {
            session->connection().announceClose();
        }
        drain_.startRepeating(DrainInterval);
    }

    void continueDrain()
    {
        const auto drainingFor = context_.clock_.now() - drainStartedAt_;
        if (drainingFor < CallersLeave) {
            return;
        }
        for (const auto &[number, session] : sessions_) {
            session->connection().closeWhenIdle();
        }
        if (sessions_.empty() || drainingFor > context_.settings_.stopGrace_ - StopMargin) {
            context_.loop_.stop();
        }
    }

    bool isReady() const
    {
        return !isDraining_ && context_.configuration_ && !context_.endpoints_.isEmpty();
    }

    void accept(int socket)
    {
        const auto number = ++nextNumber_;
        const auto limits = context_.configuration_ ? context_.configuration_->limits_ : CallerConnectionLimits();
        auto session = std::make_unique<CallerSession<D>>(context_, socket, limits, [this, number] { sessions_.erase(number); });
        if (isDraining_) {
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
    MonotonicTime drainStartedAt_;
    bool isDraining_ = false;
};

} // namespace cowsliphead
