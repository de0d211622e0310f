#pragma once

#include <string>

namespace cowsliphead
{

/// The answer to a request that ran, stored to be returned to later submissions with the same idempotency key.
struct ClaimAnswer {
    int status_ = 0;
    std::string contentType_;
    std::string body_;

    bool operator==(const ClaimAnswer &) const = default;
};

} // namespace cowsliphead
