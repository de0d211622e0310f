#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Number of a change in the log of records; 0 stands before the first change. A daemon's revision never decreases.
using Revision = std::uint64_t;

} // namespace cowsliphead
