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

    WaitingRequest<Ticket> waiting_;
};

} // namespace cowsliphead
