#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Where spans go: to a file, to an HTTP collector, or nowhere if both are empty.
struct TraceSettings {
    std::string file_;
    std::string collectorHost_;
    std::uint16_t collectorPort_ = 4318;

    /// True if spans go anywhere. Thread safety: as any value type.
    bool isEnabled() const
    {
        return !file_.empty() || !collectorHost_.empty();
    }
};

} // namespace cowsliphead
