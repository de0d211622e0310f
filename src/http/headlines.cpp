#include "http/headlines.h"

#include <utility>

namespace cowsliphead
{

namespace
{

/// True for a character that no line of a head may hold. A carriage return may stand before a line feed.
bool isControl(char character)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7F;
    const auto code = static_cast<unsigned char>(character);
    return (code < FirstPrintable && character != '\t' && character != '\r') || code == Delete;
}

} // namespace

bool HeadLines::add(char character)
{
    if (character == '\n') {
        return endLine();
    }
    const bool isBlankAtBegin = isLineEmpty_ && (character == ' ' || character == '\t');
    if (isAfterReturn_ || isBlankAtBegin || isControl(character)) {
        return false;
    }
    isAfterReturn_ = character == '\r';
    isLineEmpty_ = isLineEmpty_ && isAfterReturn_;
    return true;
}

bool HeadLines::endLine()
{
    const bool hasReturn = std::exchange(isAfterReturn_, false);
    if (std::exchange(isLineEmpty_, true)) {
        // Empty lines before a message are ignored.
        isHeadEnded_ = endsWithReturn_.has_value();
    } else if (!endsWithReturn_) {
        endsWithReturn_ = hasReturn;
    }
    return endsWithReturn_.value_or(hasReturn) == hasReturn;
}

} // namespace cowsliphead
