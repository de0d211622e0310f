#pragma once

#include <string>
#include <system_error>

namespace cowsliphead
{

/// Where a settings file or a record is wrong, what stands there and what was expected.
struct InputError {
    std::error_code code_;

    /// JSON pointer of the place, or "line L, column C" where the text is no JSON.
    std::string place_;
    std::string found_;
    std::string expected_;

    /// The firstError as one line for an operator. Thread safety: as any value type.
    std::string describe() const;
};

} // namespace cowsliphead
