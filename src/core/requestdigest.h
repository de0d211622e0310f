#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// SHA-256 of a request's content, or its first half, in hexadecimal digits; equal when the same request is sent again.
using RequestDigest = Identifier<struct RequestDigestTag>;

} // namespace cowsliphead
