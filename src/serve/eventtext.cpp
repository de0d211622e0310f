#include "serve/eventtext.h"

#include <algorithm>

namespace cowsliphead::eventtext
{

namespace
{

constexpr std::string_view DataField = "data:";

} // namespace

std::size_t findLineEnd(std::string_view text, std::size_t from)
{
    const auto end = std::find_if(text.begin() + std::ptrdiff_t(from), text.end(), [](char character) { return character == '\n' || character == '\r'; });
    return std::size_t(end - text.begin());
}

std::string_view takeLine(std::string_view &text)
{
    const auto line = text.substr(0, findLineEnd(text, 0));
    text.remove_prefix(line.size());
    const std::size_t endSize = text.starts_with("\r\n") ? 2 : 1;
    text.remove_prefix(std::min(endSize, text.size()));
    return line;
}

std::optional<std::string_view> firstData(std::string_view event)
{
    while (!event.empty()) {
        auto line = takeLine(event);
        if (!line.starts_with(DataField)) {
            continue;
        }
        line.remove_prefix(DataField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        return line;
    }
    return std::nullopt;
}

} // namespace cowsliphead::eventtext
