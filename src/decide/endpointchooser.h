#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include "core/endpointid.h"
#include "decide/endpointload.h"

namespace cowsliphead
{

struct EndpointRecord;

/// Chooses the less loaded of two endpoints taken at random, so that daemons with the same old view do not all choose alike.
class EndpointChooser
{
public:
    using LoadOf = std::function<EndpointLoad(const EndpointId &)>;

    /// Thread safety: owner task only.
    explicit EndpointChooser(std::uint64_t seed);

    /// Null if there is no candidate. Thread safety: owner task only.
    const EndpointRecord *choose(const std::vector<const EndpointRecord *> &candidates, const LoadOf &loadOf);

private:
    std::mt19937_64 random_;
};

} // namespace cowsliphead
