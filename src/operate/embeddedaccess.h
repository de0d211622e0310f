#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// Port and credentials for sending requests to an embedded daemon.
struct EmbeddedAccess {
    std::uint16_t port_ = 0;
    std::string account_;
    std::string key_;

    /// A JSON object on one line with the fields url, account and key.
    std::string toJson() const;

    /// A curl command that requests a streamed completion.
    std::string curlCommand() const;
};

} // namespace cowsliphead
