#pragma once

#include <string>

#include <tl/expected.hpp>

#include "gateway/gatewaydaemonsettings.h"
#include "records/inputerror.h"

namespace cowsliphead
{

/// Reads a gateway's settings file, JSON with comments; fields that are not known are ignored. Errors: the first firstError.
/// Thread safety: any thread.
tl::expected<GatewayDaemonSettings, InputError> parseGatewaySettings(const std::string &text);

} // namespace cowsliphead
