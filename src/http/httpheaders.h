#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cowsliphead
{

/// Header fields in message order. Names are case-insensitive; compare them with isSameHeaderName().
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name, or an empty string. Thread safety: any thread.
std::string headerValue(const HttpHeaders &headers, const std::string &name);

/// Compares two field names case-insensitively. Thread safety: any thread.
bool isSameHeaderName(const std::string &left, const std::string &right);

/// True if each of these characters may stand in a field name (RFC 9110, section 5.6.2); also for a part of a name. Thread safety: any thread.
bool hasOnlyNameCharacters(std::string_view text);

} // namespace cowsliphead
