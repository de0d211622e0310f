#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Counts how often the store came back from a copy, without the newest writes that it had confirmed; 0 if the store tells no era.
using StoreEra = std::uint64_t;

} // namespace cowsliphead
