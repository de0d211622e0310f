#pragma once

#include <chrono>

#include "relay/endpointobservation.h"

namespace cowsliphead
{

/// The sums of an EndpointObservation as they decay, not rounded.
struct ObservationWeight {
    /// As that of the sums that gateways report.
    static constexpr std::chrono::seconds HalfLife{ 10 };

    /// A report counts for nothing after this time: at a quarter of its weight.
    static constexpr std::chrono::seconds Lifetime{ 20 };

    double tokens_ = 0;
    double milliseconds_ = 0;

    /// Thread safety: any thread, as all functions of this type.
    static ObservationWeight of(const EndpointObservation &observation);

    /// The part of a sum that is left after a time.
    static double decayAfter(std::chrono::nanoseconds time);

    /// Rounded to whole tokens and milliseconds.
    EndpointObservation rounded(EndpointKey endpoint) const;

    ObservationWeight operator*(double factor) const;
    ObservationWeight &operator+=(const ObservationWeight &other);
    ObservationWeight &operator-=(const ObservationWeight &other);
};

} // namespace cowsliphead
