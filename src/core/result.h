#pragma once

#include <system_error>

#include <tl/expected.hpp>

namespace cowsliphead
{

/// A value, or the error code that tells why there is none.
template <typename T>
using Result = tl::expected<T, std::error_code>;

/// Builds a Result that holds an error. Thread safety: any thread.
template <typename Code>
tl::unexpected<std::error_code> failure(Code code)
{
    return tl::unexpected<std::error_code>(make_error_code(code));
}

} // namespace cowsliphead
