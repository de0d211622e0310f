#pragma once

#include "core/result.h"
#include "decide/requestfacts.h"

namespace cowsliphead
{

struct HttpRequest;

/// Extracts from a caller's HTTP request what routing and authorization need. Thread safety: any thread.
/// Errors: RequestMalformed for a request with several Authorization fields, and for a completion whose body is not a JSON object with a model
/// and, if present, a boolean or null "stream".
Result<RequestFacts> readRequestFacts(const HttpRequest &request);

/// True for the paths of completions, which engines serve. Thread safety: any thread.
bool isCompletionPath(const std::string &path);

} // namespace cowsliphead
