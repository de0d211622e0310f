#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// A model that engines serve.
using ModelId = Identifier<struct ModelIdTag>;

} // namespace cowsliphead
