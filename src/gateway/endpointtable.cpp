#include "gateway/endpointtable.h"

#include <algorithm>
#include <utility>

#include "decide/crashkeys.h"
#include "gateway/responsemetadata.h"
#include "logs/log.h"

namespace cowsliphead
{

namespace
{

/// Idle connections kept for each endpoint, so that all gateways together stay below the endpoint's connection limit.
constexpr std::size_t MaxIdleConnections = 6;

/// Limits the memory that endpoints occupy which are no longer listed; a fleet of 890 endpoints replaces fewer within their lifetime.
constexpr std::size_t MaxFormerEndpoints = 4096;

/// True if a connection that was opened at this time led to the start of the entry or a later one. The start is told by the endpoint's clock.
bool isSinceStartOf(WallTime openedAt, const EndpointEntry &entry)
{
    const auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(openedAt.time_since_epoch()).count();
    return entry.incarnation_ > 0 && milliseconds >= static_cast<std::int64_t>(entry.incarnation_);
}

void closeIdle(EndpointState &state)
{
    for (const auto &connection : std::exchange(state.idle_, {})) {
        connection->close();
    }
}

} // namespace

EndpointTable::EndpointTable(EventLoop &loop, BufferBudget &buffers)
    : loop_(loop)
    , buffers_(buffers)
{
}

EndpointTable::~EndpointTable() = default;

void EndpointTable::update(const std::vector<EndpointEntry> &entries, MonotonicTime now, WallTime wallNow)
{
    std::map<EndpointId, std::shared_ptr<EndpointState>> states;
    for (const auto &entry : entries) {
        if (entry.isLeaving_) {
            continue;
        }
        auto state = stateOf(entry, now, wallNow);
        state->entry_ = entry;
        state->key_ = endpointKeyOf(entry.id_);
        state->incarnation_ = crashkeys::ofEndpoint(entry.id_, entry.incarnation_);
        state->reportKey_ = endpointKeyOf(state->incarnation_);
        state->isListed_ = true;
        states.emplace(entry.id_, std::move(state));
    }
    for (const auto &[id, state] : states_) {
        const auto listed = states.find(id);
        if (listed == states.end() || listed->second != state) {
            state->isListed_ = false;
            closeIdle(*state);
            former_[id] = { state, now + FormerLifetime };
        }
    }
    states_ = std::move(states);
    forgetOldest(now);
    updateEngines();
    updateAvoidance(now);
}

void EndpointTable::updateEngines()
{
    std::map<EndpointKey, ServiceName> engines;
    for (const auto &[id, state] : states_) {
        if (state->entry_.stage_ != EngineStage::None) {
            engines.emplace(state->reportKey_, state->entry_.service_);
        }
    }
    speeds_.setEngines(std::move(engines));
}

std::shared_ptr<EndpointState> EndpointTable::stateOf(const EndpointEntry &entry, MonotonicTime now, WallTime wallNow) const
{
    auto fresh = std::make_shared<EndpointState>();
    const auto listed = states_.find(entry.id_);
    const auto former = former_.find(entry.id_);
    for (const auto &state : { listed == states_.end() ? nullptr : listed->second, former == former_.end() ? nullptr : former->second.state_ }) {
        if (!state || state->entry_.address_ != entry.address_) {
            continue;
        }
        if (state->entry_.incarnation_ == entry.incarnation_) {
            return state;
        }
        if (isSinceStartOf(wallNow - (now - state->wishOpenedAt_), entry)) {
            fresh->isLeaving_ = fresh->isLeaving_ || state->isLeaving_;
            fresh->pause_ = state->pause_;
            fresh->wishOpenedAt_ = state->wishOpenedAt_;
        }
    }
    return fresh;
}

void EndpointTable::forgetOldest(MonotonicTime now)
{
    std::erase_if(former_, [now](const auto &item) { return now >= item.second.forgetAt_; });
    while (former_.size() > MaxFormerEndpoints) {
        former_.erase(std::min_element(
            former_.begin(), former_.end(), [](const auto &left, const auto &right) { return left.second.forgetAt_ < right.second.forgetAt_; }));
    }
}

placement::Candidates EndpointTable::candidates(const ServiceName &service, EngineStage stage, const std::set<EndpointId> &excluded, MonotonicTime now)
{
    placement::Candidates healthy;
    placement::Candidates failed;
    for (const auto &[id, state] : states_) {
        if (state->entry_.service_ == service && state->entry_.stage_ == stage && !excluded.contains(id) && state->mayDispatch(now)) {
            (health_.isAvoided(id, now) ? failed : healthy).push_back(state.get());
        }
    }
    return healthy.empty() ? failed : avoided_.withoutAvoided(healthy);
}

std::optional<std::chrono::milliseconds> EndpointTable::timeUntilReturn(const ServiceName &service, MonotonicTime now) const
{
    std::optional<std::chrono::milliseconds> soonest;
    for (const auto &[id, state] : states_) {
        if (state->entry_.service_ != service || state->isLeaving_) {
            continue;
        }
        const auto remaining = state->pause_.remaining(now);
        if (!remaining) {
            return std::nullopt;
        }
        soonest = std::min(soonest.value_or(*remaining), *remaining);
    }
    return soonest;
}

void EndpointTable::answered(EndpointState &state, const ResponseMetadata &answer, MonotonicTime openedAt, MonotonicTime now)
{
    if (answer.isLeaving_ || answer.pause_) {
        state.wishOpenedAt_ = std::max(state.wishOpenedAt_, openedAt);
    }
    if (answer.isLeaving_ && !std::exchange(state.isLeaving_, true)) {
        logEvent(LogEvent::EndpointLeaves, { { "endpoint", state.entry_.id_.value() }, { "source", "answer" } });
        closeIdle(state);
    }
    if (answer.isPauseMalformed_) {
        logEvent(LogEvent::EndpointPauseMalformed, { { "endpoint", state.entry_.id_.value() } });
    }
    if (answer.pause_) {
        logEvent(LogEvent::EndpointPaused, { { "endpoint", state.entry_.id_.value() }, { "pauseMs", std::uint64_t(answer.pause_->count()) } });
        state.pause_.begin(*answer.pause_, now);
    } else {
        state.pause_.answered(now);
    }
}

std::shared_ptr<EndpointState> EndpointTable::find(const EndpointId &id) const
{
    const auto found = states_.find(id);
    return found == states_.end() ? nullptr : found->second;
}

std::shared_ptr<EndpointState> EndpointTable::findIncarnation(IncarnationKey incarnation) const
{
    const auto found = std::find_if(states_.begin(), states_.end(), [incarnation](const auto &item) { return item.second->incarnation_ == incarnation; });
    return found == states_.end() ? nullptr : found->second;
}

bool EndpointTable::hasStage(const ServiceName &service, EngineStage stage) const
{
    return std::any_of(
        states_.begin(), states_.end(), [&](const auto &item) { return item.second->entry_.service_ == service && item.second->entry_.stage_ == stage; });
}

double EndpointTable::occupancy(const ServiceName &service, EngineStage stage, std::size_t gateways, MonotonicTime now) const
{
    double running = 0;
    double slots = 0;
    for (const auto &[id, state] : states_) {
        if (state->entry_.service_ == service && state->entry_.stage_ == stage) {
            const auto others = state->loadOfOthers(now);
            const double factor = others ? 1.0 : static_cast<double>(std::max<std::size_t>(1, gateways));
            running += state->running_ * factor + (others ? others->running_ : 0);
            slots += state->entry_.slots_;
        }
    }
    return slots > 0 ? running / slots : 0;
}

void EndpointTable::setLoadOfOthers(const EndpointLoads &loads, MonotonicTime now)
{
    for (const auto &[id, state] : states_) {
        const auto found =
            std::lower_bound(loads.begin(), loads.end(), state->reportKey_, [](const EndpointLoad &load, EndpointKey key) { return load.endpoint_ < key; });
        const bool isLoaded = found != loads.end() && found->endpoint_ == state->reportKey_;
        state->others_ = isLoaded ? *found : EndpointLoad{ state->reportKey_, 0, 0 };
        state->othersAt_ = now;
    }
}

EndpointLoads EndpointTable::localLoads() const
{
    EndpointLoads loads;
    for (const auto &[id, state] : states_) {
        if (state->running_ > 0 || !state->prefillQueue_.isEmpty()) {
            loads.push_back({ state->reportKey_, state->running_, state->prefillQueue_.tokens() });
        }
    }
    std::sort(loads.begin(), loads.end());
    return loads;
}

std::shared_ptr<ClientConnection> EndpointTable::acquireConnection(EndpointState &state, bool isNew, MonotonicTime now)
{
    while (!isNew && !state.idle_.empty()) {
        auto connection = std::move(state.idle_.back());
        state.idle_.pop_back();
        if (connection->isReusable(now)) {
            return connection;
        }
        connection->close();
    }
    return std::make_shared<ClientConnection>(loop_, state.entry_.address_, &buffers_);
}

void EndpointTable::releaseConnection(EndpointState &state, std::shared_ptr<ClientConnection> connection, MonotonicTime now)
{
    if (!state.isListed_ || state.isLeaving_ || !connection->isReusable(now)) {
        connection->close();
        return;
    }
    state.idle_.push_back(std::move(connection));
    const auto &oldest = state.idle_.front();
    if (state.idle_.size() > MaxIdleConnections || !oldest->isReusable(now)) {
        oldest->close();
        state.idle_.pop_front();
    }
}

EndpointHealth &EndpointTable::health()
{
    return health_;
}

void EndpointTable::sawFailure(const EndpointState &state, EndpointFailureKind kind, MonotonicTime now)
{
    avoided_.sawFailure(state, kind, now);
    updateAvoidance(now);
}

bool EndpointTable::isReplaced(const EndpointState &state) const
{
    const auto listed = states_.find(state.entry_.id_);
    return listed != states_.end() && listed->second.get() != &state;
}

void EndpointTable::endAvoidance(const EndpointState &state, MonotonicTime askedAt, MonotonicTime now)
{
    avoided_.answered(state, askedAt);
    if (avoided_.contains(state)) {
        updateAvoidance(now);
    }
}

void EndpointTable::setFailuresOfOthers(const EndpointFailures &failures, MonotonicTime now)
{
    avoided_.setFailuresOfOthers(failures, now);
    updateAvoidance(now);
}

void EndpointTable::updateAvoidance(MonotonicTime now)
{
    avoided_.update(states_, now);
}

const AvoidedEndpoints &EndpointTable::avoided() const
{
    return avoided_;
}

EngineSpeeds &EndpointTable::speeds()
{
    return speeds_;
}

const EngineSpeeds &EndpointTable::speeds() const
{
    return speeds_;
}

std::uint64_t EndpointTable::countOf(EngineStage stage) const
{
    return static_cast<std::uint64_t>(std::count_if(states_.begin(), states_.end(), [stage](const auto &item) { return item.second->entry_.stage_ == stage; }));
}

bool EndpointTable::isEmpty() const
{
    return states_.empty();
}

} // namespace cowsliphead
