#include "replicationsimulation.h"

#include <algorithm>

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds NetworkDelay{ 2 };
constexpr std::chrono::milliseconds RunStep{ 10 };
constexpr std::uint16_t FirstPort = 1000;

} // namespace

struct ReplicationSimulation::Operator {
    explicit Operator(ReplicationSimulation &simulation)
        : store_(simulation.memory_, simulation.clock_, simulation.events_, simulation.operatorPath_, simulation.operatorCalls_)
        , writer_(store_)
    {
    }

    VirtualStore store_;
    RecordWriter<VirtualStore> writer_;
};

void VirtualLink::sendQuery(const PeerAddress &peer, const RecordQuery &query)
{
    simulation_.deliver(from_, peer, query);
}

ReplicationSimulation::ReplicationSimulation(std::size_t daemonCount, std::uint64_t seed)
    : daemons_(daemonCount)
    , random_(seed)
{
    for (std::size_t index = 0; index < daemonCount; ++index) {
        start(index);
    }
}

ReplicationSimulation::~ReplicationSimulation() = default;

void ReplicationSimulation::start(std::size_t index)
{
    kill(index);
    auto &daemon = daemons_[index];
    ++daemon.incarnation_;
    daemon.store_ = std::make_unique<VirtualStore>(memory_, clock_, events_, daemon.path_, storeCalls_);
    daemon.link_ = std::make_unique<VirtualLink>(*this, index);
    daemon.snapshot_ = std::make_shared<const RecordSet>();
    daemon.confirmedAt_ = MonotonicTime::min();
    Member self;
    self.instance_ = InstanceId("i" + std::to_string(index));
    self.failureDomain_ = FailureDomain("d" + std::to_string(index % DomainCount));
    self.address_ = addressOf(index);
    self.incarnation_ = daemon.incarnation_;
    VirtualDaemon::Replicator::Listener listener;
    const auto run = daemon.incarnation_;
    listener.onSnapshot_ = [&daemon, run](const RecordSnapshot &snapshot) {
        if (daemon.incarnation_ != run) {
            return;
        }
        daemon.hasReverted_ = daemon.hasReverted_ || snapshot->revision() < daemon.snapshot_->revision();
        daemon.snapshot_ = snapshot;
    };
    listener.onConfirmed_ = [&daemon, run](MonotonicTime asOf) { daemon.confirmedAt_ = daemon.incarnation_ == run ? asOf : daemon.confirmedAt_; };
    listener.onStoreFailed_ = [] {};
    listener.onRelayChanged_ = [](bool) {};
    const std::vector<PeerAddress> seeds{ addressOf(0), addressOf(daemons_.size() - 1) };
    daemon.replicator_ = std::make_unique<VirtualDaemon::Replicator>(clock_, *daemon.store_, *daemon.link_, self, seeds, random_(), listener);
    events_.after(std::chrono::milliseconds(random_() % 50), [this, index, run] { tick(index, run); });
}

void ReplicationSimulation::kill(std::size_t index)
{
    auto &daemon = daemons_[index];
    if (daemon.replicator_) {
        auto &kept = ended_.emplace_back();
        kept.store_ = std::move(daemon.store_);
        kept.link_ = std::move(daemon.link_);
        kept.replicator_ = std::move(daemon.replicator_);
    }
    daemon.path_.isPaused_ = false;
}

void ReplicationSimulation::run(std::chrono::milliseconds duration)
{
    for (auto &daemon : daemons_) {
        daemon.path_.isDown_ = isStoreDown_ || daemon.isDisconnected_;
    }
    operatorPath_.isDown_ = isStoreDown_;
    events_.run(duration);
}

void ReplicationSimulation::write(const Change &change, std::function<void(Result<Revision>)> done)
{
    operators_.push_back(std::make_unique<Operator>(*this));
    operators_.back()->writer_.append(change, std::move(done));
}

Revision ReplicationSimulation::writeNow(const std::string &account, bool isPut)
{
    Change change;
    change.changeId_ = ChangeId(std::to_string(random_()));
    change.action_ = isPut ? ChangeAction::Put : ChangeAction::Withdraw;
    change.key_ = RecordKey{ "account", account };
    change.text_ = isPut ? R"({"schema": 2, "kind": "account", "name": ")" + account + "\"}" : "";
    std::optional<Result<Revision>> written;
    while (!written || !*written) {
        // An operator that does not receive a revision writes the same change again.
        written.reset();
        write(change, [&](const Result<Revision> &answer) { written = answer; });
        while (!written) {
            run(std::chrono::milliseconds(1));
        }
    }
    return **written;
}

std::vector<std::size_t> ReplicationSimulation::daemonsBehind(Revision revision) const
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < daemons_.size(); ++index) {
        if (isReachable(index) && daemons_[index].snapshot_->revision() < revision) {
            found.push_back(index);
        }
    }
    return found;
}

std::optional<std::chrono::milliseconds> ReplicationSimulation::timeUntilAllHave(Revision revision, std::chrono::milliseconds limit)
{
    for (std::chrono::milliseconds waited{ 0 }; waited <= limit; waited += RunStep) {
        if (daemonsBehind(revision).empty()) {
            return waited;
        }
        run(RunStep);
    }
    return std::nullopt;
}

std::size_t ReplicationSimulation::relayCount() const
{
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [](const auto &daemon) { return daemon.replicator_ && daemon.replicator_->isRelay(); }));
}

void ReplicationSimulation::deliver(std::size_t from, const PeerAddress &peer, const RecordQuery &query)
{
    const auto bytes = peercodec::encode(query);
    daemons_[from].bytesSent_ += bytes.size();
    const auto to = static_cast<std::size_t>(peer.port_ - FirstPort);
    events_.after(NetworkDelay, [this, from, to, bytes] { answerTo(from, to, bytes); });
}

void ReplicationSimulation::answerTo(std::size_t from, std::size_t to, const std::string &bytes)
{
    if (to >= daemons_.size() || !isConnected(to) || !isConnected(from) || isLost()) {
        return;
    }
    if (daemons_[to].path_.isPaused_) {
        events_.after(RunStep, [this, from, to, bytes] { answerTo(from, to, bytes); });
        return;
    }
    daemons_[to].bytesReceived_ += bytes.size();
    const auto answer = peercodec::encode(daemons_[to].replicator_->answer(*peercodec::decodeQuery(bytes)));
    daemons_[to].bytesSent_ += answer.size();
    events_.after(NetworkDelay, [this, from, to, answer, run = daemons_[from].incarnation_] { deliverReply(from, to, run, answer); });
}

void ReplicationSimulation::deliverReply(std::size_t from, std::size_t to, std::uint64_t run, const std::string &answer)
{
    auto &asker = daemons_[from];
    if (!isConnected(from) || asker.incarnation_ != run || isLost()) {
        return;
    }
    if (asker.path_.isPaused_) {
        events_.after(RunStep, [this, from, to, run, answer] { deliverReply(from, to, run, answer); });
        return;
    }
    asker.bytesReceived_ += answer.size();
    asker.replicator_->receiveAnswer(addressOf(to), *peercodec::decodeAnswer(answer));
}

void ReplicationSimulation::tick(std::size_t index, std::uint64_t incarnation)
{
    auto &daemon = daemons_[index];
    if (!daemon.replicator_ || daemon.incarnation_ != incarnation) {
        return;
    }
    if (!daemon.path_.isPaused_) {
        daemon.replicator_->tick();
    }
    events_.after(VirtualDaemon::Replicator::TickInterval, [this, index, incarnation] { tick(index, incarnation); });
}

bool ReplicationSimulation::isReachable(std::size_t index) const
{
    const auto &daemon = daemons_[index];
    return isConnected(index) && !daemon.path_.isPaused_;
}

bool ReplicationSimulation::isConnected(std::size_t index) const
{
    return daemons_[index].replicator_ && !daemons_[index].isDisconnected_;
}

bool ReplicationSimulation::isLost()
{
    return static_cast<int>(random_() % 100) < lossPercent_;
}

PeerAddress ReplicationSimulation::addressOf(std::size_t index) const
{
    return PeerAddress{ "10.0.0.1", static_cast<std::uint16_t>(FirstPort + index) };
}

} // namespace cowsliphead
