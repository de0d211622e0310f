#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// The identifier that a writer assigns to one change of the records.
using ChangeId = Identifier<struct ChangeIdTag>;

} // namespace cowsliphead
