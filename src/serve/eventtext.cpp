#include "serve/eventtext.h"

namespace cowsliphead::eventtext
{

namespace
{

constexpr std::string_view DataField = "data:";

/// Position after the line that begins at this position, or npos if the line is incomplete.
std::size_t endOfLine(std::string_view text, std::size_t from)
{
    const auto end = text.find_first_of("\r\n", from);
    if (end == std::string_view::npos) {
        return end;
    }
    return text.substr(end).starts_with("\r\n") ? end + 2 : end + 1;
}

} // namespace

std::string_view takeLine(std::string_view &text)
{
    const auto line = text.substr(0, text.find_first_of("\r\n"));
    const auto end = endOfLine(text, 0);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end);
    return line;
}

std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    bool usesLoneCr = false;
    for (auto end = endOfLine(text, from); end != std::string_view::npos; end = endOfLine(text, from)) {
        const bool isEmptyLine = text[from] == '\r' || text[from] == '\n';
        const bool endsWithCr = text[end - 1] == '\r';
        if (isEmptyLine) {
            // The LF of this CR may still follow.
            const bool isHalf = endsWithCr && end == text.size() && !usesLoneCr;
            return isHalf ? std::string_view::npos : end;
        }
        usesLoneCr = endsWithCr;
        from = end;
    }
    return std::string_view::npos;
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
