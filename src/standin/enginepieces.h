#pragma once

#include <cstddef>
#include <cstdint>

/// Size of a piece, the unit in which an engine stand-in allocates its KV cache.
namespace cowsliphead::enginepieces
{

constexpr std::uint32_t PieceTokens = 1000;
constexpr std::size_t PieceCharacters = 4000;

} // namespace cowsliphead::enginepieces
