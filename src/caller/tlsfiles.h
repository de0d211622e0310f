#pragma once

#include <string>

namespace cowsliphead
{

/// Paths of the certificate chain and key of a TLS server, in PEM format. TLS is off if both are empty.
struct TlsFiles {
    std::string certificate_;
    std::string key_;

    /// True if TLS is off. Thread safety: safe for concurrent reads.
    bool isEmpty() const
    {
        return certificate_.empty() && key_.empty();
    }
};

} // namespace cowsliphead
