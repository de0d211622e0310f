#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

/// The syntax of server-sent events. Lines end with LF, CRLF or CR. Thread safety: any thread.
namespace cowsliphead::eventtext
{

/// Removes the first line from the text and returns it without its line end. Precondition: text is not empty.
std::string_view takeLine(std::string_view &text);

/// Position after the event that begins at this position, or npos if the event is incomplete. A CR that is the last byte counts as a whole
/// line end only after another line that ends with a CR alone.
std::size_t endOfEvent(std::string_view text, std::size_t from);

/// The value of the first "data" field of an event.
std::optional<std::string_view> firstData(std::string_view event);

} // namespace cowsliphead::eventtext
