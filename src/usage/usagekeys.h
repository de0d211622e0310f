#pragma once

#include <cstdint>
#include <string>

#include "core/accountid.h"

namespace cowsliphead::usagekeys
{

/// Returns the shard in which the account is counted and reported. Precondition: shardCount is positive and the same for the whole fleet.
/// Thread safety: any thread.
std::uint32_t shardOf(const AccountId &account, std::uint32_t shardCount);

/// Prefix of the keys of a shard's counters. Thread safety: any thread.
std::string counterPrefix(std::uint32_t shard);

/// Key of one generation of an incarnation's counter. Thread safety: any thread.
std::string counter(std::uint32_t shard, const std::string &incarnation, std::uint32_t generation);

/// Key of the ledger that the shard's successive reporters share. Thread safety: any thread.
std::string ledger(std::uint32_t shard);

/// Key of the lease that the shard's reporter holds. Thread safety: any thread.
std::string duty(std::uint32_t shard);

} // namespace cowsliphead::usagekeys
