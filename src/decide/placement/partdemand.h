#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/time.h"

namespace cowsliphead
{

/// Decides how many home engines shared parts have, from how often this gateway gets requests for them. Thread safety: owner task only.
class PartDemand
{
public:
    /// A request for the parts arrived. readingTime: how long one engine is busy with such a request. Returns the number of homes.
    std::size_t requestArrived(std::uint64_t sharedParts, std::size_t gateways, std::chrono::microseconds readingTime, MonotonicTime now);

    /// The number of homes as of the last request for the parts.
    std::size_t homesOf(std::uint64_t sharedParts) const;

private:
    struct Demand {
        /// Requests, with a half-life of HalfLife.
        double count_ = 0;
        MonotonicTime countedAt_;
        std::size_t homes_ = 1;
    };

    static double countAt(const Demand &demand, MonotonicTime now);
    void forgetRare(MonotonicTime now);

    std::unordered_map<std::uint64_t, Demand> demands_;
};

} // namespace cowsliphead
