#pragma once

#include "core/identifier.h"

namespace cowsliphead
{

/// An instance of the daemon.
using InstanceId = Identifier<struct InstanceIdTag>;

} // namespace cowsliphead
