#pragma once

#include <cstdint>

namespace cowsliphead
{

/// What a request costs an engine, in tokens of prefill and decode together. Prefill counts less, since it is done in parallel.
using TokenCost = std::uint64_t;

} // namespace cowsliphead
