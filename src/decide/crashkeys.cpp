#include "decide/crashkeys.h"

#include <xxhash.h>

namespace cowsliphead::crashkeys
{

namespace
{

/// Keep apart a request and a part with the same text.
constexpr std::uint64_t RequestSeed = 1;
constexpr std::uint64_t PartSeed = 2;

} // namespace

SuspectKey ofRequest(const RequestDigest &digest)
{
    return SuspectKey(XXH3_64bits_withSeed(digest.value().data(), digest.value().size(), RequestSeed));
}

SuspectKey ofPart(const std::string &part)
{
    return SuspectKey(XXH3_64bits_withSeed(part.data(), part.size(), PartSeed));
}

IncarnationKey ofEndpoint(const EndpointId &endpoint, std::uint64_t incarnation)
{
    return IncarnationKey(XXH3_64bits_withSeed(endpoint.value().data(), endpoint.value().size(), incarnation));
}

} // namespace cowsliphead::crashkeys
