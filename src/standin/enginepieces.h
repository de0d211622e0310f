#pragma once

#include <cstddef>
#include <cstdint>

/// The unit of an engine stand-in's KV cache.
namespace cowsliphead::enginepieces
{

constexpr std::uint32_t PieceTokens = 1000;
constexpr std::size_t PieceCharacters = 4000;

} // namespace cowsliphead::enginepieces
