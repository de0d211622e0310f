#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// Identifies a model that engines serve.
using ModelId = Identifier<struct ModelIdTag>;

} // namespace cowsliphead
