#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Where spans are exported to: a file, an OTLP collector over HTTP, both, or nowhere if both are empty.
struct TraceSettings {
    std::string file_;
    std::string collectorHost_;
    std::uint16_t collectorPort_ = 4318;

    /// True if spans are exported at all. Thread safety: as any value type.
    bool isEnabled() const
    {
        return !file_.empty() || !collectorHost_.empty();
    }
};

} // namespace cowsliphead
