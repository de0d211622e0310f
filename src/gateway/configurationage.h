#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"

namespace cowsliphead
{

/// How long ago the configuration was certainly the newest one. Times come from a clock that counts suspension.
class ConfigurationAge
{
public:
    /// A look asked for at that time found the configuration that is held. Thread safety: owner task only.
    void confirmed(MonotonicTime askedAt)
    {
        if (!askedAt_ || askedAt > *askedAt_) {
            askedAt_ = askedAt;
        }
    }

    /// True if the configuration was the newest one at some time within the bound. Thread safety: owner task only.
    bool isWithin(std::chrono::milliseconds bound, MonotonicTime now) const
    {
        return askedAt_ && now - *askedAt_ < bound;
    }

    /// Zero before the first look. Thread safety: owner task only.
    std::chrono::milliseconds age(MonotonicTime now) const
    {
        return askedAt_ ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *askedAt_) : std::chrono::milliseconds(0);
    }

private:
    std::optional<MonotonicTime> askedAt_;
};

} // namespace cowsliphead
