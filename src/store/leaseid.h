#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// A lease that the store has granted.
using LeaseId = Identifier<struct LeaseIdTag>;

} // namespace cowsliphead
