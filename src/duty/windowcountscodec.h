#pragma once

#include <string>

#include "core/result.h"
#include "usage/windowcounts.h"

namespace cowsliphead::windowcountscodec
{

/// Encodes the counts of a gateway, or the sealed counts, as JSON for the store. Thread safety: any thread.
std::string toText(const WindowCounts &counts);

/// Decodes the result of toText(). Errors: CodecMalformed. Thread safety: any thread.
Result<WindowCounts> fromText(UsageWindow window, const std::string &text);

} // namespace cowsliphead::windowcountscodec
