#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include "core/errorcode.h"
#include "records/inputerror.h"

namespace cowsliphead
{

/// Parses JSON; comments are allowed. Errors: one with the given code, located by line and column. Thread safety: any thread.
tl::expected<nlohmann::json, InputError> parseJsonText(const std::string &text, ErrorCode code);

} // namespace cowsliphead
