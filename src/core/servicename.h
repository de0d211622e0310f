#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// Name of a service: a pool of endpoints that run the same requests.
using ServiceName = Identifier<struct ServiceNameTag>;

} // namespace cowsliphead
