#pragma once

#include <string>
#include <system_error>

#include "core/outcome.h"
#include "http/httpresponsehead.h"

namespace cowsliphead
{

/// Header field that tells the caller whether its request has run, has not run, or may have run.
constexpr const char *OutcomeHeader = "Cowsliphead-Outcome";

/// The head of an error response. Thread safety: any thread.
HttpResponseHead errorHead(std::error_code code, Outcome outcome);

/// The body of an error response, in the format of the OpenAI API. Thread safety: any thread.
std::string errorBody(std::error_code code);

} // namespace cowsliphead
