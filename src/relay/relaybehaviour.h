#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/errorcode.h"
#include "fleet/registry.h"
#include "logs/log.h"
#include "peer/peerserver.h"
#include "relay/domainmembers.h"
#include "relay/fleetsize.h"
#include "relay/fleetstate.h"
#include "relay/loadboard.h"
#include "relay/quarantinerelay.h"
#include "relay/relayconnections.h"
#include "relay/relayentrystore.h"
#include "relay/relaylinks.h"
#include "relay/relaymessagecodec.h"
#include "relay/relayselection.h"
#include "relay/relaysettings.h"
#include "relay/usagerelay.h"
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
    using Message = std::variant<LocalLoad, MemberCounts, CountsStored, DrainRequest, CrashReports>;
    using OpenStore = std::function<std::unique_ptr<S>()>;

    /// incarnation identifies this run of the process and is never reused; openStore creates a client of the store. Precondition: loop and
    /// clock outlive the behaviour.
    RelayBehaviour(EventLoop &loop, const C &clock, RelaySettings settings, const InstanceId &incarnation, OpenStore openStore, RelayLinks links)
        : loop_(loop)
        , clock_(clock)
        , settings_(std::move(settings))
        , self_{ incarnation, settings_.domain_, settings_.address_.value_or(PeerAddress{}) }
        , openStore_(std::move(openStore))
        , links_(std::move(links))
        , usage_(incarnation, links_.memberCounts_, links_.countsStored_)
        , quarantine_(loop, clock, incarnation, links_.crashReports_)
        , server_(loop, [this](std::string_view bytes) { return answer(bytes); })
        , connections_(loop, [this](const PeerAddress &peer, const std::string &bytes, MonotonicTime askedAt) { answered(peer, bytes, askedAt); })
        , tick_(loop, [this] { tick(); })
    {
    }

    /// Starts listening for other gateways and following the fleet. Returns the port; 0 without peers. Precondition: called once. Errors:
    /// ListenFailed.
    Result<std::uint16_t> listen()
    {
        if (!settings_.address_) {
            links_.gatewayCounts_.send({ 1 });
            startReading();
            return 0;
        }
        const auto port = server_.listen(*settings_.address_);
        if (!port) {
            return port;
        }
        self_.address_.port_ = *port;
        const auto silenceTimeout =
            std::clamp(settings_.endpointLeaveBound_ / SilenceDivisor, RelaySelection::MinSilenceTimeout, RelaySelection::MaxSilenceTimeout);
        selection_.emplace(self_, silenceTimeout, std::random_device()());
        entries_.emplace(openStore_());
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

    /// Interval at which relays ask each other; their bytes cross failure domains.
    static constexpr std::chrono::milliseconds DomainInterval{ 300 };

    /// A client of the store and what reads from it; the client is destroyed first, after which no answer follows.
    struct Reading {
        std::unique_ptr<Registry<S, Codec, C>> registry_;
        std::unique_ptr<S> store_;
    };

    void tick()
    {
        const auto now = clock_.now();
        members_.heard(self_, now);
        members_.expire(now);
        selection_->update(now);
        publishIf(state_.expireEndpoints(now));
        connections_.closeIdle(now);
        applyRole();
        performStep(now);
        links_.loadQueries_.send({ links_.localLoads_ });
        tick_.startOnce(interval());
    }

    std::chrono::milliseconds interval() const
    {
        return std::clamp(IntervalPerMember * static_cast<int>(domainSize_), MinInterval, MaxInterval);
    }

    void handle(LocalLoad load)
    {
        if (!selection_) {
            return;
        }
        const auto now = clock_.now();
        local_ = std::move(load.loads_);
        if (selection_->role() == RelayRole::Relay) {
            board_.reportGateway(self_.incarnation_, local_, now);
            selection_->mergeMembers(members_.members());
            domainSize_ = members_.size();
            recordFleetSize(now);
            publishFleet(board_.fleetTotal(now), local_, fleetSize_.value(now));
            askDomains(now);
        }
        askTarget(now);
    }

    void handle(const MemberCounts &counts)
    {
        usage_.counted(counts, !selection_ || selection_->role() == RelayRole::Relay);
    }

    void handle(const CountsStored &counts)
    {
        usage_.stored(counts);
    }

    void handle(const CrashReports &crashes)
    {
        quarantine_.received(crashes);
    }

    void handle(const DrainRequest & /*request*/)
    {
        if (selection_) {
            selection_->leave();
        }
    }

    void applyRole()
    {
        const bool isRelay = selection_->role() == RelayRole::Relay;
        if (isRelay == (reading_.registry_ != nullptr)) {
            return;
        }
        logEvent(isRelay ? LogEvent::RelayTaken : LogEvent::RelayLeft,
                 { { "unusable", textOf(selection_->unusableRelay()) }, { "relay", textOf(selection_->target()) } });
        if (isRelay) {
            fleetSize_.restart(clock_.now());
            usage_.becameRelay();
            startReading();
        } else {
            usage_.ceasedToBeRelay();
            quarantine_.stopReading();
            reading_ = {};
        }
    }

    static std::string textOf(const std::optional<PeerAddress> &address)
    {
        return address ? address->host_ + ":" + std::to_string(address->port_) : std::string();
    }

    void startReading()
    {
        reading_.store_ = openStore_();
        reading_.registry_ = std::make_unique<Registry<S, Codec, C>>(
            loop_,
            *reading_.store_,
            clock_,
            state_.directory(),
            settings_.endpointLeaveBound_,
            RegistryEvents{
                .onConfiguration_ = [this](std::shared_ptr<const Configuration> configuration,
                                           const std::string &text) { publishIf(state_.setConfiguration(std::move(configuration), text)); },
                .onConfirmed_ = [this](const ConfigurationConfirmed &confirmation) { confirmed(confirmation.askedAt_); },
                .onEndpoints_ = [this] { publishIf(state_.endpointsRead()); },
                .onReachable_ = [this](bool isReachable) { storeReachable(isReachable); },
            });
        if (selection_ && selection_->storeAwaySince()) {
            reading_.registry_->setStoreAwaySince(*selection_->storeAwaySince());
        }
        reading_.registry_->start();
        quarantine_.startReading(openStore_());
    }

    void storeReachable(bool isReachable)
    {
        if (selection_) {
            selection_->setStoreReachable(isReachable, clock_.now());
        }
    }

    void publishIf(bool isChanged)
    {
        if (isChanged) {
            links_.snapshots_.send(state_.snapshot());
        }
    }

    void confirmed(MonotonicTime askedAt)
    {
        if (!confirmedAt_ || askedAt > *confirmedAt_) {
            confirmedAt_ = askedAt;
        }
        links_.configurationConfirmations_.send({ askedAt });
    }

    /// A failure domain that has not reported yet is taken to be as large as this one.
    void recordFleetSize(MonotonicTime now)
    {
        std::size_t gateways = domainSize_;
        for (const auto &[domain, address] : domainRelays_) {
            gateways += board_.gatewaysIn(domain, now).value_or(domainSize_);
        }
        fleetSize_.record(gateways, now);
    }

    /// gateways is zero while unknown. total includes own, which was this gateway's load when the total was made.
    void publishFleet(const EndpointLoads &total, const EndpointLoads &own, std::size_t gateways)
    {
        links_.loads_.send({ differenceOf(total, own) });
        const auto &configuration = state_.snapshot().configuration_;
        if (configuration && configuration->usesAdaptiveServing()) {
            links_.placements_.send({ total });
        }
        if (gateways > 0 && std::exchange(gateways_, gateways) != gateways) {
            links_.gatewayCounts_.send({ gateways });
        }
    }

    void performStep(MonotonicTime now)
    {
        const auto step = selection_->nextStep(now);
        switch (step.kind_) {
        case RelayStep::Kind::None:
            break;
        case RelayStep::Kind::ReadEntries:
            readEntries();
            break;
        case RelayStep::Kind::WriteEntry:
            writeEntry(step.expectedRevision_);
            break;
        }
    }

    void readEntries()
    {
        entries_->read([this](const Result<std::vector<RelayEntry>> &entries) {
            if (entries) {
                setDomainRelays(*entries);
                selection_->entriesRead(*entries, clock_.now());
            } else {
                selection_->storeUnavailable(clock_.now());
            }
            applyRole();
        });
    }

    void writeEntry(StoreRevision expectedRevision)
    {
        entries_->write(self_, expectedRevision, [this](const Result<StoreRevision> &answer) {
            const auto now = clock_.now();
            if (answer) {
                selection_->entryWritten(now);
            } else if (answer.error() == ErrorCode::StoreConflict) {
                selection_->entryConflict(now);
            } else {
                selection_->storeUnavailable(now);
            }
            applyRole();
        });
    }

    void setDomainRelays(const std::vector<RelayEntry> &entries)
    {
        domainRelays_.clear();
        for (const auto &entry : entries) {
            if (entry.relay_.domain_ != self_.domain_) {
                domainRelays_[entry.relay_.domain_] = entry.relay_.address_;
            }
        }
    }

    void askDomains(MonotonicTime now)
    {
        if (now - domainsAskedAt_ < DomainInterval) {
            return;
        }
        domainsAskedAt_ = now;
        RelayQuery query;
        query.from_ = self_;
        query.isFromRelay_ = true;
        for (const auto &[domain, address] : domainRelays_) {
            if (connections_.mayAsk(address, now)) {
                query.crashes_ = quarantine_.queryFor(address);
                connections_.ask(address, relaymessagecodec::encode(query), now);
            }
        }
    }

    void askTarget(MonotonicTime now)
    {
        const auto &target = selection_->target();
        if (!target || !connections_.mayAsk(*target, now)) {
            return;
        }
        RelayQuery query;
        query.from_ = self_;
        query.isLeaving_ = selection_->status(now).isLeaving_;
        query.unusableRelay_ = selection_->unusableRelay();
        query.configuration_ = needsWholeTexts_ ? TextVersion{} : state_.configurations().version();
        query.endpoints_ = needsWholeTexts_ ? TextVersion{} : state_.endpointVersion();
        query.membersOf_ = membersOf_;
        query.members_ = membersVersion_;
        query.loads_ = local_;
        query.counts_ = usage_.takeForQuery();
        query.crashes_ = quarantine_.queryFor(*target);
        sentLoads_ = local_;
        sentEndpoints_ = query.endpoints_;
        connections_.ask(*target, relaymessagecodec::encode(query), now);
    }

    std::optional<std::string> answer(std::string_view bytes)
    {
        const auto query = relaymessagecodec::decodeQuery(bytes);
        if (!query || !selection_) {
            logEvent(LogEvent::PeerMessageMalformed, { { "bytes", std::uint64_t(bytes.size()) } });
            return std::nullopt;
        }
        const auto now = clock_.now();
        RelayAnswer answer;
        answer.from_ = self_;
        if (query->isFromRelay_) {
            answer.status_ = selection_->status(now);
            answer.loads_ = board_.domainTotal(now);
            answer.gateways_ = members_.size();
            answer.crashes_ = quarantine_.answer(query->crashes_);
        } else if (query->from_.domain_ == self_.domain_) {
            selection_->queried(query->unusableRelay_, now);
            applyRole();
            answer.status_ = selection_->status(now);
            if (answer.status_.isRelay_) {
                answerMember(*query, answer, now);
            }
        }
        return relaymessagecodec::encode(answer);
    }

    void answerMember(const RelayQuery &query, RelayAnswer &answer, MonotonicTime now)
    {
        if (query.isLeaving_) {
            members_.left(query.from_);
        } else {
            members_.heard(query.from_, now);
        }
        board_.reportGateway(query.from_.incarnation_, query.loads_, now);
        usage_.received(query.counts_);
        answer.stored_ = usage_.storedOf(query.from_.incarnation_);
        answer.crashes_ = quarantine_.answer(query.crashes_);
        answer.configuration_ = state_.configurations().revision();
        if (confirmedAt_) {
            answer.configurationAge_ = std::chrono::ceil<std::chrono::milliseconds>(now - *confirmedAt_);
        }
        answer.configurationUpdate_ = state_.configurations().updateFor(query.configuration_);
        answer.endpointUpdate_ = state_.endpointUpdateFor(query.endpoints_, now);
        answer.endpoints_ = state_.endpointVersion().revision_;
        answer.membersVersion_ = members_.version();
        if (query.membersOf_ != self_.incarnation_ || query.members_ != members_.version()) {
            answer.members_ = members_.members();
        }
        answer.gateways_ = fleetSize_.value(now);
        answer.loads_ = board_.fleetTotal(now);
    }

    void answered(const PeerAddress &peer, const std::string &bytes, MonotonicTime askedAt)
    {
        const auto answer = relaymessagecodec::decodeAnswer(bytes);
        if (!answer) {
            logEvent(LogEvent::PeerMessageMalformed, { { "peer", textOf(peer) }, { "bytes", std::uint64_t(bytes.size()) } });
            return;
        }
        const auto now = clock_.now();
        if (answer->from_.domain_ != self_.domain_) {
            domainAnswered(peer, *answer, now);
        } else if (peer == selection_->target()) {
            targetAnswered(peer, *answer, askedAt, now);
        }
    }

    void domainAnswered(const PeerAddress &peer, const RelayAnswer &answer, MonotonicTime now)
    {
        const auto &domain = answer.from_.domain_;
        quarantine_.answered(peer, answer.from_.incarnation_, answer.crashes_);
        if (answer.status_.isRelay_) {
            board_.reportDomain(domain, answer.loads_, answer.gateways_, now);
        } else if (answer.status_.redirect_) {
            domainRelays_[domain] = *answer.status_.redirect_;
        }
    }

    void targetAnswered(const PeerAddress &peer, const RelayAnswer &answer, MonotonicTime askedAt, MonotonicTime now)
    {
        applyUpdates(peer, answer, askedAt);
        // The answering gateway counts the age until it answers, which is not before it was asked.
        if (answer.configurationAge_ && answer.configuration_ != 0 && answer.configuration_ == state_.configurations().revision()) {
            confirmed(askedAt - *answer.configurationAge_);
        }
        if (answer.members_) {
            membersOf_ = answer.from_.incarnation_;
            membersVersion_ = answer.membersVersion_;
            domainSize_ = answer.members_->size();
            selection_->setMembers(*answer.members_);
        }
        usage_.answered(answer);
        if (answer.status_.isRelay_) {
            quarantine_.answered(peer, answer.from_.incarnation_, answer.crashes_);
        }
        selection_->answered(peer, answer.status_, now);
        if (answer.status_.isFit_) {
            publishFleet(answer.loads_, sentLoads_, answer.gateways_);
        }
        applyRole();
    }

    void applyUpdates(const PeerAddress &peer, const RelayAnswer &answer, MonotonicTime askedAt)
    {
        bool isChanged = false;
        needsWholeTexts_ = false;
        if (answer.configurationUpdate_) {
            isChanged = isTaken(peer, state_.applyConfiguration(*answer.configurationUpdate_));
        }
        if (answer.endpointUpdate_) {
            const bool isNew = isTaken(peer, state_.applyEndpoints(*answer.endpointUpdate_, askedAt));
            isChanged = isChanged || isNew;
            logEvent(LogEvent::EndpointsTaken,
                     { { "relay", textOf(peer) },
                       { "revision", answer.endpointUpdate_->list_.revision_ },
                       { "kept", std::uint64_t(answer.endpointUpdate_->leases_.size()) },
                       { "listed", std::uint64_t(state_.snapshot().endpoints_->size()) } });
        } else if (answer.status_.isRelay_) {
            state_.confirmEndpoints(sentEndpoints_, answer.endpoints_);
        }
        publishIf(isChanged);
    }

    /// False for an update that changes nothing. After one that cannot be applied, the whole texts are asked for.
    bool isTaken(const PeerAddress &peer, const Result<bool> &isNew)
    {
        if (!isNew) {
            needsWholeTexts_ = true;
            logEvent(LogEvent::PeerMessageMalformed, { { "peer", textOf(peer) }, { "error", isNew.error().message() } });
        }
        return isNew.value_or(false);
    }

    EventLoop &loop_;
    const C &clock_;
    RelaySettings settings_;
    GatewayMember self_;
    OpenStore openStore_;
    RelayLinks links_;
    std::optional<RelaySelection> selection_;
    FleetState<Codec> state_;
    UsageRelay usage_;
    QuarantineRelay<S, C> quarantine_;
    LoadBoard board_;
    DomainMembers members_;
    FleetSize fleetSize_;

    /// The relays of the other failure domains.
    std::map<FailureDomain, PeerAddress> domainRelays_;
    MonotonicTime domainsAskedAt_;

    /// The relay whose list of members this gateway has.
    InstanceId membersOf_;
    std::uint64_t membersVersion_ = 0;
    std::size_t domainSize_ = 1;
    std::size_t gateways_ = 0;

    /// This gateway's load, and what the last query said of it and of the endpoints.
    EndpointLoads local_;
    EndpointLoads sentLoads_;
    TextVersion sentEndpoints_;

    /// The newest configuration was confirmed by a read sent at this time.
    std::optional<MonotonicTime> confirmedAt_;

    /// An update could not be applied.
    bool needsWholeTexts_ = false;

    std::optional<RelayEntryStore<S>> entries_;
    Reading reading_;
    PeerServer server_;
    RelayConnections connections_;
    Timer tick_;
};

} // namespace cowsliphead
