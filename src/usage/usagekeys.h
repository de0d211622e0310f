#pragma once

#include <cstdint>
#include <string>

#include "core/accountid.h"

namespace cowsliphead::usagekeys
{

/// The shard that reports the account. Precondition: shardCount is positive and the same for the whole fleet. Thread safety: any thread.
std::uint32_t shardOf(const AccountId &account, std::uint32_t shardCount);

/// Stands before the counters of a shard. Thread safety: any thread.
std::string counterPrefix(std::uint32_t shard);

/// A generation of an incarnation's counter. Thread safety: any thread.
std::string counter(std::uint32_t shard, const std::string &incarnation, std::uint32_t generation);

/// What the shard's reporters share. Thread safety: any thread.
std::string ledger(std::uint32_t shard);

/// The lease of the shard's reporter. Thread safety: any thread.
std::string duty(std::uint32_t shard);

} // namespace cowsliphead::usagekeys
