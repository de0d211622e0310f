#pragma once

#include <string>
#include <system_error>

#include "core/outcome.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

/// The header field that tells a caller what is certain about its request.
constexpr const char *OutcomeHeader = "Cowsliphead-Outcome";

/// The head of a response that reports a failure. Thread safety: any thread.
HttpResponseHead errorHead(std::error_code code, Outcome outcome);

/// The body of a response that reports a failure, as OpenAI's interface has it. Thread safety: any thread.
std::string errorBody(std::error_code code);

} // namespace cowsliphead
