#include "decide/replayengine.h"

#include <algorithm>
#include <cmath>

#include "decide/placement/promptfacts.h"

namespace cowsliphead
{

namespace
{

using namespace std::chrono_literals;

/// 15% of the engines are slowed at any time.
constexpr auto StallPeriod = 40s;
constexpr auto StallDuration = 6s;
constexpr double StallFactor = 2.5;

constexpr auto FetchSetup = 8ms;
constexpr auto MeasurementHalfLife = 10s;

/// How long an answer of 17 events takes.
constexpr auto AnswerDuration = 250ms;

std::chrono::microseconds micros(double milliseconds)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

} // namespace

ReplayEngine::ReplayEngine(EngineCandidate facts, double speed, std::chrono::milliseconds stallOffset)
    : facts_(std::move(facts))
    , speed_(speed)
    , stallOffset_(stallOffset)
{
}

MonotonicTime ReplayEngine::read(const PromptFacts &prompt, std::size_t gateway, ReplayEngine *source, MonotonicTime now)
{
    const auto tokensAhead = seenBy(gateway, now).queuedTokens_;
    auto tokens = prompt.ownTokens_;
    auto readyAt = now;
    if (!holds(prompt.sharedParts_, MonotonicTime::max())) {
        if (source != nullptr && source->holds(prompt.sharedParts_, now) && now < source->leavesAt_) {
            readyAt = source->send(prompt, *this, now);
        } else {
            tokens += prompt.sharedTokens_;
        }
    }
    const auto startAt = std::max(readyAt, freeAt_);
    freeAt_ = startAt + micros(static_cast<double>(tokens) / (TokensPerMillisecond * speedAt(startAt)));
    tokensRead_ += tokens;
    keep(prompt, freeAt_);
    endWork(now);
    queue_.push_back({ gateway, now, freeAt_, prompt.ownTokens_, tokensAhead + prompt.ownTokens_ });
    return freeAt_;
}

void ReplayEngine::answer(const PromptFacts &prompt, MonotonicTime readAt)
{
    keep(prompt, readAt);
    endWork(readAt);
    queue_.push_back({ 0, readAt, readAt + AnswerDuration, 0, 0 });
}

EngineCandidate ReplayEngine::seenBy(std::size_t gateway, MonotonicTime now) const
{
    auto seen = facts_;
    for (const auto &work : queue_) {
        const auto at = work.gateway_ == gateway ? now : now - ViewAge;
        if (work.sentAt_ <= at && at < work.doneAt_) {
            ++seen.running_;
            seen.queuedTokens_ += work.tokens_;
        }
    }
    seen.tokensPerMillisecond_ = measuredTime_.count() > 0 ? measuredTokens_ / measuredTime_.count() : TokensPerMillisecond;
    return seen;
}

void ReplayEngine::endWork(MonotonicTime now)
{
    const double decay = std::exp2(-std::chrono::duration<double>(now - measuredAt_) / MeasurementHalfLife);
    measuredTokens_ *= decay;
    measuredTime_ *= decay;
    measuredAt_ = now;
    std::erase_if(queue_, [this, now](const Work &work) {
        const bool isOver = work.doneAt_ + ViewAge < now;
        if (isOver && work.tokensUntilRead_ > 0) {
            measuredTokens_ += static_cast<double>(work.tokensUntilRead_);
            measuredTime_ += work.doneAt_ - work.sentAt_;
        }
        return isOver;
    });
}

bool ReplayEngine::holds(std::uint64_t part, MonotonicTime availableBy) const
{
    return std::any_of(parts_.begin(), parts_.end(), [&](const HeldPart &held) { return held.part_ == part && held.availableAt_ <= availableBy; });
}

void ReplayEngine::keep(const PromptFacts &prompt, MonotonicTime availableAt)
{
    const auto found = std::find_if(parts_.begin(), parts_.end(), [&prompt](const HeldPart &held) { return held.part_ == prompt.sharedParts_; });
    if (found != parts_.end()) {
        parts_.splice(parts_.begin(), parts_, found);
        return;
    }
    parts_.push_front({ prompt.sharedParts_, availableAt });
    if (parts_.size() * prompt.sharedTokens_ > Spec.cacheTokens_) {
        parts_.pop_back();
    }
}

MonotonicTime ReplayEngine::send(const PromptFacts &prompt, const ReplayEngine &receiver, MonotonicTime now)
{
    const double bits = 8.0 * static_cast<double>(prompt.sharedTokens_ * Spec.cacheTokenBytes_);
    const double domainFactor = receiver.facts_.domain_ == facts_.domain_ ? 1 : 2;
    linkFreeAt_ = std::max(now, linkFreeAt_) + FetchSetup + micros(1000 * bits / Spec.linkBitsPerSecond_ * domainFactor);
    return linkFreeAt_;
}

double ReplayEngine::speedAt(MonotonicTime now) const
{
    const bool isSlowed = (now.time_since_epoch() + stallOffset_) % StallPeriod < StallDuration;
    return isSlowed ? speed_ / StallFactor : speed_;
}

} // namespace cowsliphead
