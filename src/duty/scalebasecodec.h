#pragma once

#include <string>

#include "core/result.h"
#include "duty/scalebase.h"

namespace cowsliphead::scalebasecodec
{

/// As JSON. Thread safety: any thread.
std::string toText(const ScaleBase &base);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<ScaleBase> fromText(const std::string &text);

} // namespace cowsliphead::scalebasecodec
