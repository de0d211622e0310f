#pragma once

#include <string>

namespace cowsliphead
{

/// The answer of a request that ran, kept to be given again.
struct ClaimAnswer {
    int status_ = 0;
    std::string contentType_;
    std::string body_;

    bool operator==(const ClaimAnswer &) const = default;
};

} // namespace cowsliphead
