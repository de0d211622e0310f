#pragma once

#include <string>
#include <system_error>

namespace cowsliphead
{

/// An error in a settings file or a record: where it is, what was found there and what was expected.
struct InputError {
    std::error_code code_;

    /// JSON pointer of the field, or "line L, column C" if the text is not valid JSON.
    std::string place_;
    std::string found_;
    std::string expected_;

    /// The error as a one-line message for an operator. Thread safety: as any value type.
    std::string describe() const;
};

} // namespace cowsliphead
