#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// Identifies an endpoint: an engine or a plain service.
using EndpointId = Identifier<struct EndpointIdTag>;

} // namespace cowsliphead
