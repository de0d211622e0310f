#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// SHA-256 of what a request asks for, in hexadecimal digits; equal for a request that is sent again.
using RequestDigest = Identifier<struct RequestDigestTag>;

} // namespace cowsliphead
