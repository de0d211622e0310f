#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// A failure domain.
using FailureDomain = Identifier<struct FailureDomainTag>;

} // namespace cowsliphead
