#pragma once

#include <string>

#include "core/result.h"
#include "duty/windowcounts.h"

namespace cowsliphead::windowcountscodec
{

/// The value under which a gateway's counts, or the sealed ones, lie in the store. Thread safety: any thread.
std::string toText(const WindowCounts &counts);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<WindowCounts> fromText(UsageWindow window, const std::string &text);

} // namespace cowsliphead::windowcountscodec
