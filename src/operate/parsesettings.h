#pragma once

#include <string>

#include <tl/expected.hpp>

#include "operate/daemonsettings.h"
#include "records/inputerror.h"

namespace cowsliphead
{

/// Parses a daemon's settings from JSON; comments are allowed. Thread safety: any thread.
/// Errors: SettingsMalformed with the location, what was found and what was expected.
tl::expected<DaemonSettings, InputError> parseSettings(const std::string &text);

} // namespace cowsliphead
