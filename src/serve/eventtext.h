#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

/// The syntax of server-sent events. Lines end with LF, CRLF or CR. Thread safety: any thread.
namespace cowsliphead::eventtext
{

/// Position of the first CR or LF from this position on, or the size of the text.
std::size_t findLineEnd(std::string_view text, std::size_t from);

/// Removes the first line from the text and returns it without its line end. Precondition: text is not empty.
std::string_view takeLine(std::string_view &text);

/// The value of the first "data" field of an event.
std::optional<std::string_view> firstData(std::string_view event);

} // namespace cowsliphead::eventtext
