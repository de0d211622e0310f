#include "duty/followerbehaviour.h"

#include <random>
#include <utility>

#include "logs/log.h"
#include "peer/peercodec.h"
#include "records/recordset.h"

namespace cowsliphead
{

FollowerBehaviour::FollowerBehaviour(EventLoop &loop, FollowerSettings settings, Address<RecordSnapshot> snapshots, Address<RecordsConfirmed> confirmations)
    : settings_(std::move(settings))
    , snapshots_(std::move(snapshots))
    , confirmations_(std::move(confirmations))
    , store_(loop, settings_.store_.host_, settings_.store_.port_, settings_.store_.timeout_)
    , links_(loop, [this](const PeerAddress &peer, const RecordAnswer &answer) { replicator_->receiveAnswer(peer, answer); })
    , server_(loop, [this](std::string_view bytes) { return answer(bytes); })
    , tick_(loop, [this] { replicator_->tick(); })
{
}

FollowerBehaviour::~FollowerBehaviour() = default;

Result<std::uint16_t> FollowerBehaviour::listen()
{
    const auto port = server_.listen(settings_.peers_.address_);
    if (!port) {
        return port;
    }
    replicator_.emplace(clock_, store_, links_, self(*port), settings_.peers_.seeds_, std::random_device()(), listener());
    tick_.startRepeating(Replicator::TickInterval);
    replicator_->tick();
    return port;
}

void FollowerBehaviour::receive(Message /*message*/)
{
}

std::optional<std::string> FollowerBehaviour::answer(std::string_view bytes)
{
    const auto query = peercodec::decodeQuery(bytes);
    if (!query) {
        return std::nullopt;
    }
    return peercodec::encode(replicator_->answer(*query));
}

Member FollowerBehaviour::self(std::uint16_t port) const
{
    Member member;
    member.instance_ = settings_.instance_;
    member.failureDomain_ = settings_.failureDomain_;
    member.address_ = PeerAddress{ settings_.peers_.address_.host_, port };
    // The start time orders the runs of an instance: a later run has a higher incarnation.
    member.incarnation_ = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(clock_.wallNow().time_since_epoch()).count());
    return member;
}

FollowerBehaviour::Replicator::Listener FollowerBehaviour::listener() const
{
    Replicator::Listener listener;
    listener.onSnapshot_ = [receiver = snapshots_](const RecordSnapshot &snapshot) {
        logEvent(LogEvent::RecordsAdvanced, { { "revision", snapshot->revision() } });
        receiver.send(snapshot);
    };
    listener.onConfirmed_ = [receiver = confirmations_](MonotonicTime asOf) { receiver.send(RecordsConfirmed{ asOf }); };
    listener.onStoreFailed_ = [] { logEvent(LogEvent::StoreNotAnswering); };
    listener.onRelayChanged_ = [](bool isRelay) { logEvent(isRelay ? LogEvent::RelayTaken : LogEvent::RelayLeft); };
    return listener;
}

} // namespace cowsliphead
