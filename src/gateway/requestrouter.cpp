#include "gateway/requestrouter.h"

#include <utility>

#include <xxhash.h>

#include "fleet/route.h"
#include "gateway/endpointroom.h"

namespace cowsliphead
{

namespace
{

/// Longer prompts are read by a prefill engine, since they would delay the streams of a decode engine.
constexpr std::uint64_t LongPromptTokens = 2000;

/// Prefill engines to try before a decode engine reads the prompt itself.
constexpr int MaxPrefillAttempts = 2;

/// Share of occupied decode slots above which prefill engines read short prompts too.
constexpr double BusyDecodeOccupancy = 0.4;

/// Wait below which an engine counts as idle.
constexpr std::chrono::milliseconds IdleQueueWait{ 10 };

std::string sharedPartsOf(const RequestMetadata &metadata)
{
    std::string name;
    for (const auto &part : metadata.sharedParts()) {
        name += part.id_;
    }
    return name;
}

} // namespace

RequestRouter::RequestRouter(GatewayContext &context, RequestMetadata metadata)
    : context_(context)
    , metadata_(std::move(metadata))
    , sharedParts_(sharedPartsOf(metadata_))
    , placement_(PairPlacement(context, {}, sharedParts_))
{
}

ServiceName RequestRouter::chooseService(const Route &route, const std::string &attemptId)
{
    std::uint64_t total = 0;
    for (const auto &share : route.shares_) {
        total += share.weight_;
    }
    auto point = total == 0 ? 0 : XXH3_64bits(attemptId.data(), attemptId.size()) % total;
    for (const auto &share : route.shares_) {
        if (point < share.weight_) {
            return share.service_;
        }
        point -= share.weight_;
    }
    return route.shares_.front().service_;
}

void RequestRouter::useService(ServiceName service, const EngineSpec *engine, std::chrono::milliseconds targetLatency)
{
    service_ = std::move(service);
    isEngine_ = engine != nullptr;
    if (isEngine_ && engine->hasCompactCache()) {
        const PromptFacts prompt{ ownTokens(), metadata_.sharedTokens(), XXH3_64bits(sharedParts_.data(), sharedParts_.size()), targetLatency };
        placement_.emplace<ExpectedPlacement>(context_, service_, *engine, prompt);
    } else {
        placement_.emplace<PairPlacement>(context_, service_, sharedParts_);
    }
}

std::optional<ExpectedTime> RequestRouter::expectedTime() const
{
    auto candidates = shouldPrefill() ? prefillEngines() : placement::Candidates();
    if (candidates.empty()) {
        candidates = runCandidates();
    }
    return std::visit([&candidates](const auto &rules) { return rules.expectedTime(candidates); }, placement_);
}

bool RequestRouter::shouldPrefill() const
{
    const bool isPossible = isEngine_ && prefillAttempts_ < MaxPrefillAttempts && metadata_.promptTokens_ > 0;
    if (!isPossible || !context_.endpoints_.hasStage(service_, EngineStage::Prefill)) {
        return false;
    }
    if (!isLongPrompt()) {
        return shouldOffloadShortPrompt();
    }
    return std::visit([this](const auto &rules) { return !rules.readsLongPromptLocally(prefillEngines()); }, placement_);
}

bool RequestRouter::isLongPrompt() const
{
    return metadata_.promptTokens_ >= LongPromptTokens;
}

/// A short prompt is read by the decode engine, unless the decode engines are busy and a prefill engine is idle.
bool RequestRouter::shouldOffloadShortPrompt() const
{
    if (prefillAttempts_ > 0 || context_.decodeOccupancy(service_) < BusyDecodeOccupancy) {
        return false;
    }
    const auto now = context_.clock_.now();
    const auto *idle = placement::shortestQueue(prefillEngines(), context_.settings_.domain_, context_.gatewayCount_, now);
    return idle != nullptr && placement::prefillWait(*idle, context_.gatewayCount_, now) < IdleQueueWait;
}

placement::Candidates RequestRouter::prefillEngines() const
{
    return context_.endpoints_.candidates(service_, EngineStage::Prefill, triedPrefillEngines_, context_.clock_.now());
}

PrefillChoice RequestRouter::chooseReader(const placement::Candidates &candidates)
{
    return std::visit([&candidates](auto &rules) { return rules.chooseReader(candidates); }, placement_);
}

PrefillChoice RequestRouter::choosePrefill()
{
    ++prefillAttempts_;
    const auto now = context_.clock_.now();
    const auto engines = prefillEngines();
    const auto choice = isLongPrompt() ? chooseReader(engines)
                                       : PrefillChoice{ placement::shortestQueue(engines, context_.settings_.domain_, context_.gatewayCount_, now), nullptr };
    if (choice.engine_ == nullptr) {
        skipPrefill();
    } else {
        triedPrefillEngines_.insert(choice.engine_->entry_.id_);
    }
    return choice;
}

void RequestRouter::skipPrefill()
{
    prefillAttempts_ = MaxPrefillAttempts;
}

bool RequestRouter::isLastPrefill() const
{
    return prefillAttempts_ >= MaxPrefillAttempts;
}

bool RequestRouter::readsPromptItself(bool isPromptRead) const
{
    return isEngine_ && isLongPrompt() && !isPromptRead;
}

placement::Candidates RequestRouter::runCandidates() const
{
    const auto now = context_.clock_.now();
    const auto stage = isEngine_ ? EngineStage::Decode : EngineStage::None;
    auto candidates = context_.endpoints_.candidates(service_, stage, triedEndpoints_, now);
    const bool mayQueue = !isEngine_ && context_.configuration_ && context_.configuration_->usesAdaptiveServing();
    return mayQueue ? endpointroom::withRoom(std::move(candidates), context_.gatewayCount_, now) : candidates;
}

placement::Candidates RequestRouter::readingEngines() const
{
    if (!isEngine_) {
        return {};
    }
    return shouldPrefill() ? prefillEngines() : runCandidates();
}

bool RequestRouter::hasOtherEndpoint() const
{
    return !runCandidates().empty();
}

EndpointState *RequestRouter::chooseEndpoint(bool isPromptRead)
{
    const auto candidates = runCandidates();
    auto *chosen = readsPromptItself(isPromptRead) ? chooseReader(candidates).engine_
                                                   : std::visit([&candidates](auto &rules) { return rules.chooseAnswerer(candidates); }, placement_);
    if (chosen != nullptr) {
        triedEndpoints_.insert(chosen->entry_.id_);
    }
    return chosen;
}

const EndpointState *RequestRouter::primaryEngine() const
{
    const auto now = context_.clock_.now();
    const auto engines = context_.endpoints_.candidates(service_, EngineStage::Prefill, {}, now);
    return std::visit([&engines](const auto &rules) { return rules.primaryEngine(engines); }, placement_);
}

std::uint64_t RequestRouter::ownTokens() const
{
    return metadata_.promptTokens_ - std::min(metadata_.promptTokens_, metadata_.sharedTokens());
}

std::uint64_t RequestRouter::expectedReading() const
{
    const auto *expected = std::get_if<ExpectedPlacement>(&placement_);
    return expected != nullptr ? expected->expectedReading() : ownTokens();
}

const std::string &RequestRouter::sharedParts() const
{
    return sharedParts_;
}

} // namespace cowsliphead
