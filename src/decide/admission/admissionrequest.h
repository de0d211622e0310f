#pragma once

#include <cstdint>

#include "core/accountid.h"
#include "decide/admission/waitingrequest.h"

namespace cowsliphead
{

/// A request for capacity.
template <typename Ticket>
struct AdmissionRequest {
    AccountId account_;
    std::uint32_t weight_ = 1;

    /// Maximum number of queued requests of the account; 0 means no limit.
    std::size_t maxWaiting_ = 0;
    WaitingRequest<Ticket> waiting_;
};

} // namespace cowsliphead
