#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "logs/log.h"
#include "peer/peerserver.h"
#include "relay/addresstext.h"
#include "relay/domainexchange.h"
#include "relay/fleetreader.h"
#include "relay/memberexchange.h"
#include "relay/relayconnections.h"
#include "relay/relaycontext.h"
#include "relay/relayentrycalls.h"
#include "relay/relaymessagecodec.h"
#include "relay/targetexchange.h"
#include "serve/drainrequest.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Task behaviour that follows the state of the fleet: configuration, endpoints, the load that other gateways have placed, and the number of
/// gateways. One gateway of each failure domain, its relay, reads the store; the others ask it. Relays tell each other their failure
/// domain's load. Thread safety: all members, on the loop's task only.
template <RangedStore S, FleetCodec Codec, Clock C>
class RelayBehaviour
{
public:
    using Context = RelayContext<S, Codec, C>;
    using Message = std::variant<LocalLoad, MemberCounts, CountsStored, DrainRequest, CrashReports>;
    using OpenStore = std::function<std::unique_ptr<S>()>;

    /// incarnation identifies this run of the process and is never reused; openStore creates a client of the store. Precondition: loop and
    /// clock outlive the behaviour.
    RelayBehaviour(EventLoop &loop, const C &clock, const RelaySettings &settings, const InstanceId &incarnation, OpenStore openStore, RelayLinks links)
        : context_{ loop, clock, settings, { incarnation, settings.domain_, settings.address_.value_or(PeerAddress{}) }, std::move(links) }
        , openStore_(std::move(openStore))
        , reader_(context_, openStore_)
        , server_(loop, [this](std::string_view bytes) { return answer(bytes); })
        , connections_(loop, [this](const PeerAddress &peer, const std::string &bytes, MonotonicTime askedAt) { answered(peer, bytes, askedAt); })
        , domains_(context_, connections_)
        , target_(context_, connections_)
        , members_(context_)
        , tick_(loop, [this] { tick(); })
    {
    }

    /// Starts listening for other gateways and following the fleet. Returns the port; 0 without peers. Precondition: called once. Errors:
    /// ListenFailed.
    Result<std::uint16_t> listen()
    {
        const auto &settings = context_.settings_;
        if (!settings.address_) {
            context_.links_.gatewayCounts_.send({ 1 });
            reader_.start();
            return 0;
        }
        const auto port = server_.listen(*settings.address_);
        if (!port) {
            return port;
        }
        context_.self_.address_.port_ = *port;
        const auto silenceTimeout =
            std::clamp(settings.endpointLeaveBound_ / SilenceDivisor, RelaySelection::MinSilenceTimeout, RelaySelection::MaxSilenceTimeout);
        context_.selection_.emplace(context_.self_, silenceTimeout, std::random_device()());
        entryCalls_.emplace(
            context_, openStore_(), [this](const std::vector<RelayEntry> &entries) { domains_.setRelays(entries); }, [this] { applyRole(); });
        tick();
        return port;
    }

    void receive(Message message)
    {
        std::visit([this](auto &&part) { this->handle(std::forward<decltype(part)>(part)); }, std::move(message));
    }

private:
    /// Interval of queries for each gateway of the failure domain, so that a relay gets a steady rate of them, and its limits.
    static constexpr std::chrono::milliseconds IntervalPerMember{ 5 };
    static constexpr std::chrono::milliseconds MinInterval{ 100 };
    static constexpr std::chrono::milliseconds MaxInterval{ 250 };

    /// The part of the time within which endpoints that leave have to be known that may pass until a silent relay is replaced.
    static constexpr int SilenceDivisor = 4;

    void tick()
    {
        const auto now = context_.clock_.now();
        context_.members_.heard(context_.self_, now);
        context_.members_.expire(now);
        context_.selection_->update(now);
        context_.publishIf(context_.state_.expireEndpoints(now));
        connections_.closeIdle(now);
        applyRole();
        entryCalls_->performStep(now);
        context_.links_.loadQueries_.send({ context_.links_.localLoads_ });
        tick_.startOnce(interval());
    }

    std::chrono::milliseconds interval() const
    {
        return std::clamp(IntervalPerMember * static_cast<int>(context_.domainSize_), MinInterval, MaxInterval);
    }

    void handle(LocalLoad &&load)
    {
        if (!context_.selection_) {
            return;
        }
        const auto now = context_.clock_.now();
        context_.local_ = std::move(load);
        if (context_.isRelay()) {
            reportOwnLoad(now);
        }
        target_.ask(now);
    }

    void reportOwnLoad(MonotonicTime now)
    {
        context_.retryPool_.setLimit(domains_.retryPoolLimit());
        auto load = members_.exchangeOwn(now);
        context_.selection_->mergeMembers(context_.members_.members());
        context_.domainSize_ = context_.members_.size();
        domains_.recordFleetSize(now);
        context_.publishFleet(std::move(load), context_.fleetSize_.value(now));
        domains_.ask(now);
    }

    void handle(const MemberCounts &counts)
    {
        context_.usage_.counted(counts, !context_.selection_ || context_.isRelay());
    }

    void handle(const CountsStored &counts)
    {
        context_.usage_.stored(counts);
    }

    void handle(const CrashReports &crashes)
    {
        context_.quarantine_.received(crashes);
    }

    void handle(const DrainRequest & /*request*/)
    {
        if (context_.selection_) {
            context_.selection_->leave();
        }
    }

    void applyRole()
    {
        const bool isRelay = context_.isRelay();
        if (isRelay == reader_.isReading()) {
            return;
        }
        const auto &selection = *context_.selection_;
        logEvent(isRelay ? LogEvent::RelayTaken : LogEvent::RelayLeft,
                 { { "unusable", textOf(selection.unusableRelay()) }, { "relay", textOf(selection.target()) } });
        if (isRelay) {
            context_.fleetSize_.restart(context_.clock_.now());
            context_.usage_.becameRelay();
            reader_.start();
        } else {
            context_.usage_.ceasedToBeRelay();
            context_.retryPool_.clear();
            reader_.stop();
        }
    }

    std::optional<std::string> answer(std::string_view bytes)
    {
        const auto query = relaymessagecodec::decodeQuery(bytes);
        if (!query || !context_.selection_) {
            logEvent(LogEvent::PeerMessageMalformed, { { "bytes", std::uint64_t(bytes.size()) } });
            return std::nullopt;
        }
        const auto now = context_.clock_.now();
        RelayAnswer answer;
        answer.from_ = context_.self_;
        if (query->isFromRelay_) {
            domains_.answer(*query, answer, now);
        } else if (query->from_.domain_ == context_.self_.domain_) {
            context_.selection_->queried(query->unusableRelay_, now);
            applyRole();
            answer.status_ = context_.selection_->status(now);
            if (answer.status_.isRelay_) {
                members_.answer(*query, answer, now);
            }
        }
        return relaymessagecodec::encode(answer);
    }

    void answered(const PeerAddress &peer, const std::string &bytes, MonotonicTime askedAt)
    {
        const auto answer = relaymessagecodec::decodeAnswer(bytes);
        if (!answer) {
            logEvent(LogEvent::PeerMessageMalformed, { { "peer", textOf(peer) }, { "bytes", std::uint64_t(bytes.size()) } });
            return;
        }
        const auto now = context_.clock_.now();
        if (answer->from_.domain_ != context_.self_.domain_) {
            domains_.answered(peer, *answer, now);
        } else if (peer == context_.selection_->target()) {
            target_.answered(peer, *answer, askedAt, now);
            applyRole();
        }
    }

    Context context_;
    OpenStore openStore_;
    std::optional<RelayEntryCalls<S, Codec, C>> entryCalls_;
    FleetReader<S, Codec, C> reader_;
    PeerServer server_;
    RelayConnections connections_;
    DomainExchange<S, Codec, C> domains_;
    TargetExchange<S, Codec, C> target_;
    MemberExchange<S, Codec, C> members_;
    Timer tick_;
};

} // namespace cowsliphead
