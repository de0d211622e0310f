#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// The SHA-256 digest of a caller's key, in hexadecimal digits.
using KeyDigest = Identifier<struct KeyDigestTag>;

} // namespace cowsliphead
