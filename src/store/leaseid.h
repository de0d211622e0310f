#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// Identifies a lease granted by the store.
using LeaseId = Identifier<struct LeaseIdTag>;

} // namespace cowsliphead
