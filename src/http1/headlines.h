#pragma once

#include <optional>
#include <string_view>

namespace cowsliphead
{

/// Checks how the lines of a head begin and end, where http_parser is lenient: it takes any byte after a carriage return for a line feed, and
/// joins a line that begins with a blank to the one before. A field name that begins with such a byte would then end the head, or be lost.
/// Thread safety: owner task only.
class HeadLines
{
public:
    /// Adds the next bytes of a message; those after its head are ignored. Returns false if a line begins with a blank, if a carriage return
    /// stands elsewhere than before a line feed, or if lines end in different ways.
    bool add(std::string_view bytes);

private:
    bool addCharacter(char character);
    bool endLine();

    /// Whether the first line ended with a carriage return and a line feed. Absent before its end.
    std::optional<bool> endsWithReturn_;
    bool isLineEmpty_ = true;
    bool isAfterReturn_ = false;
    bool isHeadEnded_ = false;
};

} // namespace cowsliphead
