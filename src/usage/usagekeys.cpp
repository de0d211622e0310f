#include "usage/usagekeys.h"

#include <xxhash.h>

namespace cowsliphead::usagekeys
{

std::uint32_t shardOf(const AccountId &account, std::uint32_t shardCount)
{
    const auto &name = account.value();
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0) % shardCount);
}

std::string counterPrefix(std::uint32_t shard)
{
    return "usage/counter/" + std::to_string(shard) + "/";
}

std::string counter(std::uint32_t shard, const std::string &incarnation, std::uint32_t generation)
{
    return counterPrefix(shard) + incarnation + "." + std::to_string(generation);
}

std::string ledger(std::uint32_t shard)
{
    return "usage/ledger/" + std::to_string(shard);
}

std::string duty(std::uint32_t shard)
{
    return "duty/reporter/" + std::to_string(shard);
}

} // namespace cowsliphead::usagekeys
