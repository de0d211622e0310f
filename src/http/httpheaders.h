#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cowsliphead
{

/// Header fields in their order; names compare without regard to case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The first value of the field, or an empty text. Thread safety: any thread.
std::string headerValue(const HttpHeaders &headers, const std::string &name);

/// True if both are the same field name. Thread safety: any thread.
bool isSameHeaderName(const std::string &left, const std::string &right);

} // namespace cowsliphead
