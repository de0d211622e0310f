#pragma once

#include <optional>

namespace cowsliphead
{

/// Checks the lines of a head, where http_parser and libevent are lenient: they take other bytes for the end of a line, join a line that begins
/// with a blank to the one before, or pass on control characters. A field name that begins with such a byte would then end the head, or be lost.
/// Thread safety: owner task only.
class HeadLines
{
public:
    /// Adds the next character of the head. Returns false if a line begins with a blank, if a line holds a control character, if a carriage return
    /// stands elsewhere than before a line feed, or if lines end in different ways.
    bool add(char character);

    /// True once the first line has ended. Empty lines before it are ignored.
    bool hasBegun() const
    {
        return endsWithReturn_.has_value();
    }

    /// True once the empty line that ends the head was added.
    bool isEnded() const
    {
        return isHeadEnded_;
    }

private:
    bool endLine();

    /// Whether the first line ended with a carriage return and a line feed. Absent before its end.
    std::optional<bool> endsWithReturn_;
    bool isLineEmpty_ = true;
    bool isAfterReturn_ = false;
    bool isHeadEnded_ = false;
};

} // namespace cowsliphead
