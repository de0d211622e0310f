#pragma once

#include <string>
#include <vector>

namespace cowsliphead::brokenheads
{

/// Statuses that no answer may have.
inline const std::vector<std::string> Statuses{ "000", "001", "099", "600", "999" };

/// Field names with a byte that no field name may hold.
inline const std::vector<std::string> FieldNames{ " Content-Length", "Content Length", "Content-Length ", "Content-Length\t", "Content\x01-Length", "\x1f",
                                                  "Content\x7fName", "Content(Length", "Content\x80" };

/// The head of an answer with this status, up to its last field.
inline std::string withStatus(const std::string &status, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + " Trouble\r\n" + fields + "Content-Length: 6\r\n\r\n";
}

/// The head of an answer to which a field of this name and a length of six bytes belong.
inline std::string withFieldName(const std::string &name, const std::string &fields = {})
{
    return "HTTP/1.1 200 OK\r\n" + fields + name + ": 2\r\nContent-Length: 6\r\n\r\n";
}

} // namespace cowsliphead::brokenheads
