#include "relay/observationweight.h"

#include <algorithm>
#include <cmath>

namespace cowsliphead
{

ObservationWeight ObservationWeight::of(const EndpointObservation &observation)
{
    return { static_cast<double>(observation.tokensRead_), static_cast<double>(observation.readingTime_.count()) };
}

double ObservationWeight::decayAfter(std::chrono::nanoseconds time)
{
    return std::exp2(-(std::chrono::duration<double>(time) / std::chrono::duration<double>(HalfLife)));
}

EndpointObservation ObservationWeight::rounded(EndpointKey endpoint) const
{
    const auto whole = [](double value) { return std::llround(std::max(value, 0.0)); };
    return { endpoint, static_cast<std::uint64_t>(whole(tokens_)), std::chrono::milliseconds(whole(milliseconds_)) };
}

ObservationWeight ObservationWeight::operator*(double factor) const
{
    return { tokens_ * factor, milliseconds_ * factor };
}

ObservationWeight &ObservationWeight::operator+=(const ObservationWeight &other)
{
    tokens_ += other.tokens_;
    milliseconds_ += other.milliseconds_;
    return *this;
}

ObservationWeight &ObservationWeight::operator-=(const ObservationWeight &other)
{
    tokens_ -= other.tokens_;
    milliseconds_ -= other.milliseconds_;
    return *this;
}

} // namespace cowsliphead
