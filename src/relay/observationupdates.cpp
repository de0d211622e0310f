#include "relay/observationupdates.h"

#include <algorithm>
#include <cmath>

namespace cowsliphead
{

bool ObservationUpdates::isDue(MonotonicTime now) const
{
    return !takenAt_ || now - *takenAt_ >= Interval;
}

EndpointObservations ObservationUpdates::take(const EndpointObservations &present, MonotonicTime now)
{
    takenAt_ = now;
    std::erase_if(sent_, [now](const auto &item) { return now - item.second.at_ >= ObservationWeight::Lifetime; });
    const auto start = std::lower_bound(
        present.begin(), present.end(), next_, [](const EndpointObservation &observation, EndpointKey key) { return observation.endpoint_ < key; });
    EndpointObservations changed;
    const auto takeFrom = [&](auto first, auto last) {
        for (; first != last && changed.size() < MaxObservations; ++first) {
            next_ = first->endpoint_ + 1;
            if (isChanged(*first, now)) {
                sent_[first->endpoint_] = { ObservationWeight::of(*first), now };
                changed.push_back(*first);
            }
        }
    };
    takeFrom(start, present.end());
    takeFrom(present.begin(), start);
    std::sort(changed.begin(), changed.end());
    return changed;
}

void ObservationUpdates::reset()
{
    sent_.clear();
    takenAt_.reset();
}

bool ObservationUpdates::isChanged(const EndpointObservation &observation, MonotonicTime now) const
{
    constexpr double ChangedPart = 0.1;
    constexpr double WeightRatio = 2;
    const auto sent = sent_.find(observation.endpoint_);
    if (sent == sent_.end()) {
        return true;
    }
    const auto present = ObservationWeight::of(observation);
    const auto &[weight, at] = sent->second;
    const auto received = weight * ObservationWeight::decayAfter(now - at);
    if (present.milliseconds_ >= WeightRatio * received.milliseconds_) {
        return true;
    }
    // Compares the speeds without a division, since either time may be zero.
    const auto before = weight.tokens_ * present.milliseconds_;
    return std::abs(present.tokens_ * weight.milliseconds_ - before) >= ChangedPart * before;
}

} // namespace cowsliphead
