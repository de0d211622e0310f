#pragma once

#include <string>

#include "core/result.h"
#include "duty/scalerecord.h"

namespace cowsliphead::scalebasecodec
{

/// Encodes the record as JSON. Gateways of earlier versions ignore the planned numbers. Thread safety: any thread.
std::string toText(const ScaleRecord &record);

/// Decodes the result of toText(). Errors: CodecMalformed. Thread safety: any thread.
Result<ScaleRecord> fromText(const std::string &text);

} // namespace cowsliphead::scalebasecodec
