#pragma once

#include <cstdint>

namespace cowsliphead
{

/// The cost of a request to an engine, in prefill and decode tokens together. Prefill tokens count less, since they are processed in
/// parallel.
using TokenCost = std::uint64_t;

} // namespace cowsliphead
