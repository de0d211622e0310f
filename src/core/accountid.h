#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// Identifies a client account.
using AccountId = Identifier<struct AccountIdTag>;

} // namespace cowsliphead
