#include "gateway/requestrouter.h"

#include <utility>

#include <xxhash.h>

#include "fleet/route.h"

namespace cowsliphead
{

namespace
{

/// A longer prompt is read by a prefill engine, since it would hold up the streams of the engine that generates.
constexpr std::uint64_t LongPrompt = 2000;

/// Prefill engines that are tried before the engine that generates reads the prompt itself.
constexpr int MostPrefills = 2;

/// Share of the decode engines' places above which other engines read short prompts too.
constexpr double BusyDecode = 0.4;

/// Share of the decode engines' places below which they can read long prompts beside their streams.
constexpr double IdleDecode = 0.35;

/// A home whose queue takes longer than this has too much to read.
constexpr std::chrono::milliseconds BusyPrefill{ 200 };

/// An engine whose queue takes less than this has nothing to read.
constexpr std::chrono::milliseconds IdleQueue{ 10 };

std::string sharedPartsOf(const CallerFacts &facts)
{
    std::string name;
    for (std::size_t index = 0; index + 1 < facts.promptParts_.size(); ++index) {
        name += facts.promptParts_[index].id_;
    }
    return name;
}

} // namespace

RequestRouter::RequestRouter(GatewayContext &context, CallerFacts facts)
    : context_(context)
    , facts_(std::move(facts))
    , sharedParts_(sharedPartsOf(facts_))
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

void RequestRouter::useService(ServiceName service, bool isEngine)
{
    service_ = std::move(service);
    isEngine_ = isEngine;
}

bool RequestRouter::wantsPrefill() const
{
    const bool isPossible = isEngine_ && prefills_ < MostPrefills && facts_.promptTokens_ > 0;
    if (!isPossible || !context_.endpoints_.hasStage(service_, EngineStage::Prefill)) {
        return false;
    }
    return isLongPrompt() ? !mayRelievePrefill() : mayRelieveDecode();
}

bool RequestRouter::isLongPrompt() const
{
    return facts_.promptTokens_ >= LongPrompt;
}

/// A long prompt is read where it is answered only if its homes have much to read and the decode engines little to do.
bool RequestRouter::mayRelievePrefill() const
{
    if (context_.decodeOccupancy(service_) > IdleDecode) {
        return false;
    }
    const auto now = context_.clock_.now();
    const auto choice = placement::prefillEngine(sharedParts_, prefillEngines(), context_.gatewayCount_, now);
    return choice.engine_ != nullptr && choice.engine_->queue_.wait(now, context_.gatewayCount_) > BusyPrefill;
}

/// A short prompt is best read where it is answered, unless the engines there are busy and one of the others has nothing to read.
bool RequestRouter::mayRelieveDecode() const
{
    if (prefills_ > 0 || context_.decodeOccupancy(service_) < BusyDecode) {
        return false;
    }
    const auto now = context_.clock_.now();
    const auto *idle = placement::shortestQueue(prefillEngines(), context_.settings_.domain_, context_.gatewayCount_, now);
    return idle != nullptr && idle->queue_.wait(now, context_.gatewayCount_) < IdleQueue;
}

placement::Candidates RequestRouter::prefillEngines() const
{
    return context_.endpoints_.candidates(service_, EngineStage::Prefill, triedReaders_, context_.clock_.now());
}

PrefillChoice RequestRouter::choosePrefill()
{
    ++prefills_;
    const auto now = context_.clock_.now();
    const auto engines = prefillEngines();
    const auto choice = isLongPrompt() ? placement::prefillEngine(sharedParts_, engines, context_.gatewayCount_, now)
                                       : PrefillChoice{ placement::shortestQueue(engines, context_.settings_.domain_, context_.gatewayCount_, now), nullptr };
    if (choice.engine_ == nullptr) {
        skipPrefill();
    } else {
        triedReaders_.insert(choice.engine_->entry_.id_);
    }
    return choice;
}

void RequestRouter::skipPrefill()
{
    prefills_ = MostPrefills;
}

bool RequestRouter::isLastPrefill() const
{
    return prefills_ >= MostPrefills;
}

bool RequestRouter::readsPromptItself(bool isPromptRead) const
{
    return isEngine_ && isLongPrompt() && !isPromptRead;
}

placement::Candidates RequestRouter::runners() const
{
    const auto stage = isEngine_ ? EngineStage::Decode : EngineStage::None;
    return context_.endpoints_.candidates(service_, stage, triedRunners_, context_.clock_.now());
}

bool RequestRouter::hasOtherRunner() const
{
    return !runners().empty();
}

EndpointState *RequestRouter::chooseRunner(bool isPromptRead)
{
    const auto now = context_.clock_.now();
    const auto candidates = runners();
    auto *chosen = readsPromptItself(isPromptRead) ? placement::prefillEngine(sharedParts_, candidates, context_.gatewayCount_, now).engine_
                                                   : placement::leastLoaded(candidates, context_.settings_.domain_, context_.random_);
    if (chosen != nullptr) {
        triedRunners_.insert(chosen->entry_.id_);
    }
    return chosen;
}

const EndpointState *RequestRouter::home() const
{
    const auto now = context_.clock_.now();
    const auto homes = context_.endpoints_.candidates(service_, EngineStage::Prefill, {}, now);
    return placement::home(sharedParts_, homes);
}

std::uint64_t RequestRouter::ownTokens() const
{
    return facts_.promptTokens_ - std::min(facts_.promptTokens_, facts_.sharedTokens());
}

const std::string &RequestRouter::sharedParts() const
{
    return sharedParts_;
}

} // namespace cowsliphead
