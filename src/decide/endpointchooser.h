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

/// Chooses the less loaded of two endpoints picked at random (power of two choices), so that daemons with the same outdated load
/// figures do not all choose the same endpoint. Thread safety: owner task only.
class EndpointChooser
{
public:
    using LoadOf = std::function<EndpointLoad(const EndpointId &)>;

    explicit EndpointChooser(std::uint64_t seed);

    /// Returns null if there is no candidate.
    const EndpointRecord *choose(const std::vector<const EndpointRecord *> &candidates, const LoadOf &loadOf);

private:
    std::mt19937_64 random_;
};

} // namespace cowsliphead
