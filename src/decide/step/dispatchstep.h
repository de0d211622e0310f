#pragma once

#include <cstdint>

namespace cowsliphead
{

/// Send the request to an endpoint at which no attempt has failed yet.
struct DispatchStep {
    /// 1 for the first attempt.
    std::uint32_t attempt_ = 1;
};

} // namespace cowsliphead
