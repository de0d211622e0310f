#pragma once

#include <string>

#include "core/result.h"
#include "duty/scalebase.h"

namespace cowsliphead::scalebasecodec
{

/// Encodes the base as JSON. Thread safety: any thread.
std::string toText(const ScaleBase &base);

/// Decodes the result of toText(). Errors: CodecMalformed. Thread safety: any thread.
Result<ScaleBase> fromText(const std::string &text);

} // namespace cowsliphead::scalebasecodec
