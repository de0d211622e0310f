#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// Identifies a failure domain.
using FailureDomain = Identifier<struct FailureDomainTag>;

} // namespace cowsliphead
