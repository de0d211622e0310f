#pragma once

#include <cstddef>
#include <string>

#include "decide/claimkey.h"

namespace cowsliphead
{

/// Number of shards, each stored under one key of the store. All daemons of a fleet must use the same number.
constexpr std::size_t ClaimShardCount = 64;

/// Returns the shard that a claim belongs to. Precondition: the key is a digest in hexadecimal. Thread safety: any thread.
std::size_t shardOf(const ClaimKey &key);

/// The shard's key in the store. Thread safety: any thread.
std::string shardKey(std::size_t shard);

} // namespace cowsliphead
