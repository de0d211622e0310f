#pragma once

#include "core/result.h"
#include "decide/requestfacts.h"

namespace cowsliphead
{

struct HttpRequest;

/// What the decisions need to know of a caller's HTTP request. Thread safety: any thread.
/// Errors: RequestMalformed for a completion whose body is no JSON object with a model.
Result<RequestFacts> readRequestFacts(const HttpRequest &request);

/// True for the paths that engines answer. Thread safety: any thread.
bool isCompletionPath(const std::string &path);

} // namespace cowsliphead
