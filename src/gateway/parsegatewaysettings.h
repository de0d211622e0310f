#pragma once

#include <string>

#include <tl/expected.hpp>

#include "gateway/gatewaydaemonsettings.h"
#include "records/mistake.h"

namespace cowsliphead
{

/// Parses a gateway's settings file, JSON with comments; unknown fields are ignored. Errors: the first mistake. Thread safety: any thread.
tl::expected<GatewayDaemonSettings, Mistake> parseGatewaySettings(const std::string &text);

} // namespace cowsliphead
