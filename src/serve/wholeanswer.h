#pragma once

#include <string>

namespace cowsliphead
{

struct HttpResponseHead;

/// True if an answer whose connection ended in order is whole. One with neither a length nor chunks looks the same if its engine crashed, so
/// that a completion counts only if its body is JSON to the end. Thread safety: any thread.
bool isWholeAnswer(const HttpResponseHead &head, const std::string &body, bool isCompletion);

} // namespace cowsliphead
