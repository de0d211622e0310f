#include "gateway/expectedplacement.h"

#include <utility>

#include "decide/defaultenginespeed.h"
#include "decide/placement/chooseengine.h"
#include "decide/placement/engineranking.h"
#include "gateway/engineplacement.h"
#include "gateway/gatewaycontext.h"

namespace cowsliphead
{

namespace
{

/// Share of the shared tokens that an engine has to read on the average, because neither it nor the engine that it fetches from holds them.
/// Without it the queues of engines with cold caches look too short.
constexpr std::uint64_t MissedSharePercent = 40;

} // namespace

static_assert(EnginePlacement<ExpectedPlacement>);

ExpectedPlacement::ExpectedPlacement(GatewayContext &context, ServiceName service, EngineSpec spec, PromptFacts prompt)
    : context_(context)
    , service_(std::move(service))
    , spec_(spec)
    , prompt_(prompt)
{
}

bool ExpectedPlacement::readsLongPromptLocally(const placement::Candidates &candidates) const
{
    if (context_.decodeOccupancy(service_) > placement::IdleDecodeOccupancy) {
        return false;
    }
    const auto expected = expectedTime(candidates);
    return expected && expected->queue_ > placement::BusyPrefillWait;
}

std::uint64_t ExpectedPlacement::expectedReading() const
{
    return prompt_.ownTokens_ + prompt_.sharedTokens_ * MissedSharePercent / 100;
}

PrefillChoice ExpectedPlacement::chooseReader(const placement::Candidates &candidates)
{
    if (!homes_ && prompt_.sharedTokens_ > 0) {
        const std::chrono::duration<double, std::milli> readingTime(static_cast<double>(prompt_.ownTokens_) / DefaultTokensPerMillisecond);
        homes_ = context_.partDemand_.requestArrived(
            prompt_.sharedParts_, context_.gatewayCount_, std::chrono::duration_cast<std::chrono::microseconds>(readingTime), context_.clock_.now());
    }
    const auto choice = cowsliphead::chooseReader(prompt_, factsOf(candidates), spec_, homes_.value_or(1), context_.random_);
    if (!choice) {
        return {};
    }
    // A home that was started recently, or that has evicted the parts, fetches them from the engine that answered the last request for them.
    const auto *source = choice->home_ ? candidates[*choice->home_] : firstAnswerer();
    auto *engine = candidates[choice->engine_];
    return { engine, source == engine ? nullptr : source, choice->expected_ };
}

EndpointState *ExpectedPlacement::chooseAnswerer(const placement::Candidates &candidates) const
{
    if (prompt_.sharedTokens_ == 0) {
        return placement::leastLoaded(candidates, context_.settings_.domain_, context_.clock_.now(), context_.random_);
    }
    const auto chosen = cowsliphead::chooseAnswerer(prompt_.sharedParts_, factsOf(candidates));
    return chosen ? candidates[*chosen] : nullptr;
}

const EndpointState *ExpectedPlacement::primaryEngine(const placement::Candidates &candidates) const
{
    const auto ranking = rankEngines(prompt_.sharedParts_, factsOf(candidates));
    return ranking.empty() ? nullptr : candidates[ranking.front()];
}

std::optional<ExpectedTime> ExpectedPlacement::expectedTime(const placement::Candidates &candidates) const
{
    return shortestExpectedTime(prompt_, factsOf(candidates), spec_, context_.partDemand_.homesOf(prompt_.sharedParts_));
}

const EndpointState *ExpectedPlacement::firstAnswerer() const
{
    if (prompt_.sharedTokens_ == 0) {
        return nullptr;
    }
    return primaryEngine(context_.endpoints_.candidates(service_, EngineStage::Decode, {}, context_.clock_.now()));
}

std::vector<EngineCandidate> ExpectedPlacement::factsOf(const placement::Candidates &candidates) const
{
    const auto now = context_.clock_.now();
    std::vector<EngineCandidate> facts;
    for (const auto *state : candidates) {
        const auto queued = placement::queuedTokens(*state, context_.gatewayCount_, now);
        facts.push_back({
            .key_ = state->key_,
            .domain_ = state->entry_.domain_,
            .queuedTokens_ = queued,
            .running_ = placement::runningRequests(*state, context_.gatewayCount_, now),
            .slots_ = state->entry_.slots_,
            // Engines do not report their cache; what they have yet to read is the part that is known to be in use soon.
            .usedCacheTokens_ = queued,
            .tokensPerMillisecond_ = context_.endpoints_.speeds().tokensPerMillisecond(state->reportKey_),
            .isStreaming_ = state->entry_.stage_ == EngineStage::Decode,
        });
    }
    return facts;
}

} // namespace cowsliphead
