#pragma once

#include <cstdint>

namespace cowsliphead
{

/// The store's counter of writes; as the revision of a key, 0 means that the key is absent.
using StoreRevision = std::uint64_t;

} // namespace cowsliphead
