#pragma once

#include <cstdint>

#include "store/storeera.h"

namespace cowsliphead
{

/// Fencing token of a duty: increases with each new holder; 0 if there has been no holder yet.
using FencingNumber = std::uint64_t;

/// All fencing numbers of an era of the store are above this one, and all of earlier eras are not: a store that came back from a copy may have lost
/// the newest numbers. An era has room for a new holder each second of a century. Thread safety: any thread.
constexpr FencingNumber fencingBaseOf(StoreEra era)
{
    constexpr int EraShift = 32;
    return era << EraShift;
}

} // namespace cowsliphead
