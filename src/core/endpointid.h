#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// An endpoint: an engine or a plain service.
using EndpointId = Identifier<struct EndpointIdTag>;

} // namespace cowsliphead
