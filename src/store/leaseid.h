#pragma once

#include <cstdint>
#include <string>

#include "core/identifier.h"
#include "store/storeera.h"

namespace cowsliphead
{

/// Identifies a lease granted by the store. In a later era the store may give out the same number again, so the era is a part of the
/// identifier.
using LeaseId = Identifier<struct LeaseIdTag>;

/// Thread safety: any thread.
inline LeaseId leaseIdOf(StoreEra era, std::uint64_t number)
{
    return LeaseId(era == 0 ? std::to_string(number) : std::to_string(era) + '.' + std::to_string(number));
}

/// The era in which the lease was granted. Precondition: from leaseIdOf(), or empty. Thread safety: any thread.
inline StoreEra eraOf(const LeaseId &lease)
{
    const auto dot = lease.value().find('.');
    return dot == std::string::npos ? 0 : std::stoull(lease.value().substr(0, dot));
}

/// The number by which the store knows the lease; 0 if there is none. Precondition: as eraOf(). Thread safety: any thread.
inline std::uint64_t numberOf(const LeaseId &lease)
{
    return lease.isEmpty() ? 0 : std::stoull(lease.value().substr(lease.value().find('.') + 1));
}

} // namespace cowsliphead
