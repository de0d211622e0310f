#pragma once

#include <cstdint>
#include <string>

namespace cowsliphead
{

/// How to reach an embedded daemon.
struct EmbeddedAccess {
    std::uint16_t port_ = 0;
    std::string account_;
    std::string key_;

    /// One line of JSON with url, account and key.
    std::string toJson() const;

    /// A command line that asks for a streamed completion.
    std::string curlLine() const;
};

} // namespace cowsliphead
