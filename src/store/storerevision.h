#pragma once

#include <cstdint>

namespace cowsliphead
{

/// The store's count of writes; 0 stands for a key that is absent.
using StoreRevision = std::uint64_t;

} // namespace cowsliphead
