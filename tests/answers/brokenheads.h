#pragma once

#include <string>
#include <vector>

namespace cowsliphead::brokenheads
{

/// Statuses that no answer may have.
inline const std::vector<std::string> Statuses{ "000", "001", "099", "600", "999" };

/// The head of an answer with this status, up to its last field.
inline std::string withStatus(const std::string &status, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + " Trouble\r\n" + fields + "Content-Length: 6\r\n\r\n";
}

} // namespace cowsliphead::brokenheads
