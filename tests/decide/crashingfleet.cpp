#include "crashingfleet.h"

#include <algorithm>
#include <utility>

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto Step = 10ms;
constexpr auto RestartTime = 3500ms;
constexpr std::size_t FifthCrash = 5;

constexpr SuspectKey DeadlyPart{ 1 };
constexpr std::uint64_t FirstParts = 1'000;
constexpr SuspectKey RelatedPart{ FirstParts };
constexpr std::uint64_t MiddleParts = 10'000;
constexpr std::uint64_t Requests = 1'000'000;

} // namespace

CrashingFleet::CrashingFleet(const Shape &shape)
    : shape_(shape)
    , random_(shape.seed_)
    , gateways_(shape.gateways_)
    , engines_(shape.engines_)
{
    for (auto &engine : engines_) {
        engine.incarnation_ = ++lastIncarnation_;
        engine.backAt_ = clock_.now();
        engine.listedAt_ = clock_.now();
    }
    exchangedAt_ = clock_.now();
}

void CrashingFleet::warmUp(std::chrono::milliseconds time, bool knowsDeadlyPart)
{
    const auto otherCrashes = std::exchange(shape_.otherCrashes_, 0);
    hasDeadlyPart_ = knowsDeadlyPart;
    isMended_ = true;
    run(time);
    isMended_ = false;
    hasDeadlyPart_ = true;
    shape_.otherCrashes_ = otherCrashes;
}

void CrashingFleet::run(std::chrono::milliseconds time)
{
    const auto end = clock_.now() + time;
    while (clock_.now() < end) {
        step();
    }
}

void CrashingFleet::mend()
{
    isMended_ = true;
}

std::size_t CrashingFleet::deadlyArrivalsAfterFifthCrash(std::chrono::milliseconds later) const
{
    if (deadlyCrashes_.size() < FifthCrash) {
        return 0;
    }
    const auto from = deadlyCrashes_[FifthCrash - 1] + later;
    return static_cast<std::size_t>(std::count_if(deadlyArrivals_.begin(), deadlyArrivals_.end(), [from](auto at) { return at > from; }));
}

bool CrashingFleet::isDeadlyPartRefused()
{
    const CrashSuspects suspects{ std::nullopt, partsOf(true) };
    return std::all_of(gateways_.begin(), gateways_.end(), [&](const auto &gateway) { return gateway.verdictOn(suspects, clock_.now()).has_value(); });
}

void CrashingFleet::step()
{
    clock_.advance(Step);
    for (auto &engine : engines_) {
        finishRuns(engine);
    }
    if (isNow(shape_.rate_)) {
        send(hasDeadlyPart_ && std::bernoulli_distribution(shape_.share_)(random_));
    }
    if (isNow(shape_.otherCrashes_)) {
        for (std::size_t number = 0; number < shape_.enginesAtOnce_; ++number) {
            crash(engines_[pick(engines_.size())]);
        }
    }
    if (clock_.now() - exchangedAt_ >= shape_.exchangeInterval_) {
        exchange();
    }
}

void CrashingFleet::send(bool isDeadly)
{
    const auto now = clock_.now();
    const CrashSuspects suspects{ SuspectKey(Requests + ++lastRequest_), partsOf(isDeadly) };
    const auto gateway = pick(gateways_.size());
    const bool isRelated = !isDeadly && suspects.parts_.front() == RelatedPart;
    soundRequests_ += isDeadly ? 0 : 1;
    relatedRequests_ += isRelated ? 1 : 0;
    if (gateways_[gateway].verdictOn(suspects, now)) {
        soundRefusals_ += isDeadly ? 0 : 1;
        relatedRefusals_ += isRelated ? 1 : 0;
        return;
    }
    auto &engine = engines_[pick(engines_.size())];
    if (now < engine.backAt_) {
        return;
    }
    if (isDeadly) {
        deadlyArrivals_.push_back(now);
    }
    const auto duration = std::uniform_int_distribution<std::int64_t>(50, shape_.longestRun_.count())(random_);
    // Connections are kept for later requests.
    const auto openedAt = std::bernoulli_distribution(0.5)(random_) ? engine.backAt_ : now;
    engine.runs_.push_back({ gateway, suspects, openedAt, now, now + std::chrono::milliseconds(duration), isDeadly });
}

void CrashingFleet::finishRuns(Engine &engine)
{
    const auto now = clock_.now();
    const auto isOver = [now](const Run &run) { return now >= run.endsAt_; };
    if (!isMended_ && std::any_of(engine.runs_.begin(), engine.runs_.end(), [&](const Run &run) { return isOver(run) && run.isDeadly_; })) {
        deadlyCrashes_.push_back(now);
        crash(engine);
        return;
    }
    for (const auto &run : engine.runs_) {
        if (isOver(run)) {
            gateways_[run.gateway_].answered(run.suspects_, now);
            gateways_[run.gateway_].survived({ listedStart(engine), run.openedAt_, run.writtenAt_ }, now);
        }
    }
    std::erase_if(engine.runs_, isOver);
}

void CrashingFleet::crash(Engine &engine)
{
    const auto now = clock_.now();
    for (const auto &run : engine.runs_) {
        gateways_[run.gateway_].crashed(run.suspects_, listedStart(engine), run.writtenAt_, now);
    }
    engine.runs_.clear();
    engine.incarnationBefore_ = std::exchange(engine.incarnation_, ++lastIncarnation_);
    engine.backAt_ = now + RestartTime;
    engine.listedAt_ = engine.backAt_ + shape_.listDelay_;
}

IncarnationKey CrashingFleet::listedStart(const Engine &engine) const
{
    return IncarnationKey(clock_.now() < engine.listedAt_ ? engine.incarnationBefore_ : engine.incarnation_);
}

/// All gateways tell one, which passes on what it knows.
void CrashingFleet::exchange()
{
    const auto now = clock_.now();
    exchangedAt_ = now;
    auto &relay = gateways_.front();
    for (const auto &gateway : gateways_) {
        relay.merge(gateway.changesFor(0, now).reports_, now);
    }
    for (auto &gateway : gateways_) {
        for (std::uint64_t version = 0; version < relay.version();) {
            const auto part = relay.changesFor(version, now);
            gateway.merge(part.reports_, now);
            version = part.version_;
        }
    }
}

std::vector<SuspectKey> CrashingFleet::partsOf(bool isDeadly)
{
    const bool isRelated = isDeadly && shape_.isOtherPartFixed_;
    const auto first = isRelated ? RelatedPart : SuspectKey(FirstParts + pick(shape_.firstParts_));
    const SuspectKey middle = isDeadly ? DeadlyPart : SuspectKey(MiddleParts + pick(shape_.middleParts_));
    return isDeadly && shape_.isDeadlyFirst_ ? std::vector{ middle, first } : std::vector{ first, middle };
}

bool CrashingFleet::isNow(double perSecond)
{
    return std::bernoulli_distribution(std::min(1.0, perSecond * std::chrono::duration<double>(Step).count()))(random_);
}

std::size_t CrashingFleet::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}
