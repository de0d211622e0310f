#pragma once

#include <cstddef>
#include <string>

#include "decide/claimkey.h"

namespace cowsliphead
{

/// Values of the store over which the claims are spread. All daemons of a fleet use the same number.
constexpr std::size_t ClaimShardCount = 64;

/// The shard that a claim belongs to. Precondition: the key is a digest in hexadecimal digits. Thread safety: any thread.
std::size_t shardOf(const ClaimKey &key);

/// The shard's key in the store. Thread safety: any thread.
std::string shardKey(std::size_t shard);

} // namespace cowsliphead
