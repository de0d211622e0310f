#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "core/time.h"

namespace cowsliphead
{

/// Counts the gateways by the usage counts that each of them writes for every window.
class GatewayCensus
{
public:
    /// presence: how long a gateway counts after its last write. Thread safety: owner task only.
    explicit GatewayCensus(std::chrono::milliseconds presence);

    /// A key was written in the store. Thread safety: owner task only.
    void written(const std::string &key, MonotonicTime now);

    /// Thread safety: owner task only.
    std::size_t count(MonotonicTime now);

private:
    std::chrono::milliseconds presence_;
    std::map<std::string, MonotonicTime> seenAt_;
};

} // namespace cowsliphead
