#pragma once

#include <string>

#include <tl/expected.hpp>

#include "gateway/gatewaydaemonsettings.h"
#include "records/inputerror.h"

namespace cowsliphead
{

/// Parses a gateway's settings file, JSON with comments; unknown fields are ignored. A bound that is absent or has no meaning stays as
/// inForce has it; rejected_ names the latter. Errors: SettingsMalformed, for invalid JSON or for the first invalid field that is no bound.
/// Thread safety: any thread.
tl::expected<GatewayDaemonSettings, InputError> parseGatewaySettings(const std::string &text, const GatewayDaemonSettings &inForce = {});

} // namespace cowsliphead
