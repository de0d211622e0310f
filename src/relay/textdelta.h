#pragma once

#include <string>
#include <string_view>

#include "core/result.h"

namespace cowsliphead::textdelta
{

/// Compresses a text against an earlier version that the receiver has; base is empty if it has none. Versions that differ little compress
/// to the size of the difference. Thread safety: any thread.
std::string compress(std::string_view text, std::string_view base);

/// Reverses compress(), with the same base. Errors: CodecMalformed, also if the text would exceed MaxTextBytes. Thread safety: any thread.
Result<std::string> expand(std::string_view bytes, std::string_view base);

/// Upper bound on an expanded text: four of the store's largest values.
constexpr std::size_t MaxTextBytes = 4U << 20U;

} // namespace cowsliphead::textdelta
