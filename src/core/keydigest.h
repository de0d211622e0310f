#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// SHA-256 digest of an API key, in hexadecimal digits.
using KeyDigest = Identifier<struct KeyDigestTag>;

} // namespace cowsliphead
