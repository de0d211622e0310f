#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// A client account.
using AccountId = Identifier<struct AccountIdTag>;

} // namespace cowsliphead
