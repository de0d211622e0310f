#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/time.h"

namespace cowsliphead
{

/// The time for which an endpoint has asked to get no requests. After that it gets one at a time until it answers one, so that the requests
/// that were kept away do not return all at once. Thread safety: owner task only.
class EndpointPause
{
public:
    /// Longer pauses are cut to this; an endpoint that asks for more is as good as gone, and comes back with another incarnation.
    static constexpr std::chrono::hours MaxPause{ 1 };

    /// The endpoint asked for a pause from now on. A shorter one does not end a longer one. Precondition: duration is not negative.
    void begin(std::chrono::milliseconds duration, MonotonicTime now);

    /// The endpoint answered a request without asking for a pause.
    void answered(MonotonicTime now);

    /// How much longer the endpoint is to get nothing; nothing if it may get requests.
    std::optional<std::chrono::milliseconds> remaining(MonotonicTime now) const;

    /// running: requests of this gateway that the endpoint has.
    bool mayDispatch(std::uint32_t running, MonotonicTime now) const;

private:
    /// Set until the endpoint has answered after the pause.
    std::optional<MonotonicTime> until_;
};

} // namespace cowsliphead
