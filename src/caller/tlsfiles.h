#pragma once

#include <string>

namespace cowsliphead
{

/// The files of a TLS server, in PEM. Both empty: no TLS.
struct TlsFiles {
    std::string certificate_;
    std::string key_;

    /// Thread safety: as any value type.
    bool isEmpty() const
    {
        return certificate_.empty() && key_.empty();
    }
};

} // namespace cowsliphead
