#include "storerelay.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

StoreRelay::StoreRelay(const VirtualClock &clock)
    : clock_(clock)
    , registry_(loop_,
                store_,
                clock_,
                state_.directory(),
                2000ms,
                { .onConfiguration_ = [](const std::shared_ptr<const Configuration> & /*configuration*/, const std::string & /*text*/) {},
                  .onConfirmed_ = [](ConfigurationConfirmed /*confirmation*/) {},
                  .onEndpoints_ = [this] { state_.endpointsRead(); },
                  .onReachable_ = [](bool /*isReachable*/) {} })
{
    registry_.start();
}

StoreEntry StoreRelay::entry(const std::string &id, StoreRevision revision, const std::string &state)
{
    const auto value = R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":")" + state + R"("})";
    return { "servers/" + id, value, revision, false };
}

StoreEntry StoreRelay::removal(const std::string &id, StoreRevision revision)
{
    return { "servers/" + id, {}, revision, true };
}

void StoreRelay::read(std::vector<StoreEntry> entries, StoreRevision revision)
{
    store_.ranges_["servers/"](StoreRange{ std::move(entries), false, revision });
}

void StoreRelay::change(std::vector<StoreEntry> entries, StoreRevision revision)
{
    store_.watches_["servers/"](WatchAnswer{ std::move(entries), revision });
}

void StoreRelay::loseStore()
{
    store_.watches_["servers/"](failure(ErrorCode::StoreUnavailable));
}

void StoreRelay::expire()
{
    state_.expireEndpoints(clock_.now());
}

StoreRelay::State &StoreRelay::state()
{
    return state_;
}
