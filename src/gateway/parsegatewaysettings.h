#pragma once

#include <string>

#include <tl/expected.hpp>

#include "gateway/gatewaydaemonsettings.h"
#include "records/inputerror.h"

namespace cowsliphead
{

/// Parses a gateway's settings file, JSON with comments; unknown fields are ignored. Errors: the first firstError. Thread safety: any thread.
tl::expected<GatewayDaemonSettings, InputError> parseGatewaySettings(const std::string &text);

} // namespace cowsliphead
