#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

#include "core/time.h"
#include "relay/endpointobservation.h"
#include "relay/observationweight.h"

namespace cowsliphead
{

/// Selects the observations that are sent to one receiver. An observation is sent if the reading speed differs by a tenth from the one that was
/// sent last, or if it has at least twice the weight that the receiver, which lets it decay, has by now. Comparing the sums themselves would
/// send all observations each time, since they decay by more than a tenth between two times. Thread safety: owner task only.
class ObservationUpdates
{
public:
    /// Limits the bytes of a message to about 3.4 KB for observations. What exceeds it is sent the next time.
    static constexpr std::size_t MaxObservations = 256;

    /// True once the interval has passed since observations were taken.
    bool isDue(MonotonicTime now) const;

    /// Returns those of the present observations that are to be sent now. Precondition: isDue().
    EndpointObservations take(const EndpointObservations &present, MonotonicTime now);

    /// The receiver may not have got what was sent: all observations are sent again.
    void reset();

private:
    static constexpr std::chrono::seconds Interval{ 2 };

    struct Sent {
        ObservationWeight weight_;
        MonotonicTime at_;
    };

    bool isChanged(const EndpointObservation &observation, MonotonicTime now) const;

    std::map<EndpointKey, Sent> sent_;
    std::optional<MonotonicTime> takenAt_;

    /// The endpoint at which the next selection starts, so that each one has its turn.
    EndpointKey next_ = 0;
};

} // namespace cowsliphead
