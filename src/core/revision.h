#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Number of a change in the log of records; 0 if there has been no change yet. A daemon's revision never decreases.
using Revision = std::uint64_t;

} // namespace cowsliphead
