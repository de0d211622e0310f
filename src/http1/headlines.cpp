#include "http1/headlines.h"

#include <utility>

namespace cowsliphead
{

bool HeadLines::add(std::string_view bytes)
{
    for (const char character : bytes) {
        if (isHeadEnded_) {
            return true;
        }
        if (!addCharacter(character)) {
            return false;
        }
    }
    return true;
}

bool HeadLines::addCharacter(char character)
{
    if (character == '\n') {
        return endLine();
    }
    const bool isBlankAtBegin = isLineEmpty_ && (character == ' ' || character == '\t');
    if (isAfterReturn_ || isBlankAtBegin) {
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
