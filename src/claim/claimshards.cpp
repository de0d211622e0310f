#include "claim/claimshards.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t DigitsForShard = 4;
constexpr int Hexadecimal = 16;

} // namespace

std::size_t shardOf(const ClaimKey &key)
{
    return std::stoul(key.value().substr(0, DigitsForShard), nullptr, Hexadecimal) % ClaimShardCount;
}

std::string shardKey(std::size_t shard)
{
    return "claims/" + std::to_string(shard);
}

} // namespace cowsliphead
