#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// Identifies an instance of the daemon.
using InstanceId = Identifier<struct InstanceIdTag>;

} // namespace cowsliphead
