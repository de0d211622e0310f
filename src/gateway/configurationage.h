#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"

namespace cowsliphead
{

/// Tracks when the configuration was last confirmed as the newest one. Times come from a clock that counts suspension. Thread safety: owner
/// task only.
class ConfigurationAge
{
public:
    /// A store read sent at this time confirmed the current configuration. Confirmations may arrive out of order.
    void confirmed(MonotonicTime askedAt)
    {
        if (!askedAt_ || askedAt > *askedAt_) {
            askedAt_ = askedAt;
        }
    }

    /// True if the configuration was the newest one at some time within the bound.
    bool isWithin(std::chrono::milliseconds bound, MonotonicTime now) const
    {
        return askedAt_ && now - *askedAt_ < bound;
    }

    /// Zero before the first confirmation.
    std::chrono::milliseconds age(MonotonicTime now) const
    {
        return askedAt_ ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *askedAt_) : std::chrono::milliseconds(0);
    }

private:
    std::optional<MonotonicTime> askedAt_;
};

} // namespace cowsliphead
