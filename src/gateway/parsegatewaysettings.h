#pragma once

#include <string>

#include <tl/expected.hpp>

#include "gateway/gatewaydaemonsettings.h"
#include "records/inputerror.h"

namespace cowsliphead
{

/// Parses a gateway's settings file, JSON with comments; unknown fields are ignored. Errors: SettingsMalformed, for invalid JSON or
/// for the first invalid field. Thread safety: any thread.
tl::expected<GatewayDaemonSettings, InputError> parseGatewaySettings(const std::string &text);

} // namespace cowsliphead
