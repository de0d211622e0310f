#pragma once

#include <string>

#include <tl/expected.hpp>

#include "gateway/gatewaydaemonsettings.h"
#include "records/mistake.h"

namespace cowsliphead
{

/// Reads a gateway's settings file, JSON with comments; fields that are not known are ignored. Errors: the first mistake.
/// Thread safety: any thread.
tl::expected<GatewayDaemonSettings, Mistake> parseGatewaySettings(const std::string &text);

} // namespace cowsliphead
