#include "decide/enginespeeds.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

#include "decide/defaultenginespeed.h"

namespace cowsliphead
{

namespace
{

/// The half-life of observations, the same at all gateways.
constexpr std::chrono::duration<double> HalfLife{ 10 };

/// Times are told in whole milliseconds, so that a shorter time says little of the speed.
constexpr std::chrono::duration<double, std::milli> MinTime{ 5 };

/// Time between two updates from what the others observed. They tell of an engine at most every two seconds, while loads arrive ten times a
/// second.
constexpr std::chrono::milliseconds OthersInterval{ 500 };

/// A stalled engine is not taken to be slower than this, so that expected times stay finite.
constexpr double MinSpeed = 1;

} // namespace

EngineSpeeds::Sums EngineSpeeds::Sums::decayedTo(MonotonicTime now) const
{
    const double factor = std::exp2(-std::chrono::duration<double>(now - at_) / HalfLife);
    return { tokens_ * factor, time_ * factor, now };
}

void EngineSpeeds::setEngines(std::map<EndpointKey, ServiceName> engines)
{
    engines_ = std::move(engines);
    const auto isGone = [this](const auto &item) { return !engines_.contains(item.first); };
    std::erase_if(own_, isGone);
    std::erase_if(others_, isGone);
    std::erase_if(speeds_, isGone);
    updateMedians();
}

void EngineSpeeds::promptRead(EndpointKey engine, std::uint64_t tokens, std::chrono::nanoseconds time, MonotonicTime now)
{
    if (!engines_.contains(engine)) {
        return;
    }
    auto &sums = own_[engine];
    sums = sums.decayedTo(now);
    sums.tokens_ += static_cast<double>(tokens);
    sums.time_ += time;
    updateSpeed(engine, now);
    updateMedians();
}

void EngineSpeeds::setObservationsOfOthers(const EndpointObservations &observations, MonotonicTime now)
{
    if (othersAt_ && now - *othersAt_ < OthersInterval) {
        return;
    }
    othersAt_ = now;
    others_.clear();
    for (const auto &observation : observations) {
        others_[observation.endpoint_] = { static_cast<double>(observation.tokensRead_), observation.readingTime_, now };
    }
    speeds_.clear();
    for (const auto &[engine, service] : engines_) {
        updateSpeed(engine, now);
    }
    updateMedians();
}

EndpointObservations EngineSpeeds::observations(MonotonicTime now) const
{
    EndpointObservations observations;
    for (const auto &[engine, sums] : own_) {
        const auto decayed = sums.decayedTo(now);
        if (decayed.time_ >= MinTime) {
            observations.push_back({ engine, static_cast<std::uint64_t>(decayed.tokens_), std::chrono::round<std::chrono::milliseconds>(decayed.time_) });
        }
    }
    return observations;
}

double EngineSpeeds::tokensPerMillisecond(EndpointKey engine) const
{
    if (const auto known = speeds_.find(engine); known != speeds_.end()) {
        return known->second;
    }
    const auto listed = engines_.find(engine);
    const auto median = listed == engines_.end() ? medians_.end() : medians_.find(listed->second);
    return median == medians_.end() ? DefaultTokensPerMillisecond : median->second;
}

void EngineSpeeds::updateSpeed(EndpointKey engine, MonotonicTime now)
{
    Sums total;
    for (const auto *sums : { &own_, &others_ }) {
        if (const auto found = sums->find(engine); found != sums->end()) {
            const auto decayed = found->second.decayedTo(now);
            total.tokens_ += decayed.tokens_;
            total.time_ += decayed.time_;
        }
    }
    if (total.time_ >= MinTime) {
        speeds_[engine] = std::max(MinSpeed, total.tokens_ / total.time_.count());
    } else {
        speeds_.erase(engine);
    }
}

void EngineSpeeds::updateMedians()
{
    std::map<ServiceName, std::vector<double>> speeds;
    for (const auto &[engine, speed] : speeds_) {
        speeds[engines_.at(engine)].push_back(speed);
    }
    medians_.clear();
    for (auto &[service, values] : speeds) {
        const auto middle = std::next(values.begin(), static_cast<std::ptrdiff_t>(values.size() / 2));
        std::nth_element(values.begin(), middle, values.end());
        medians_[service] = *middle;
    }
}

} // namespace cowsliphead
