#include "http/responseheadcheck.h"

namespace cowsliphead
{

std::size_t ResponseHeadCheck::add(std::string_view bytes)
{
    std::size_t count = 0;
    while (count < bytes.size() && isValid_ && !isEnded()) {
        isValid_ = addCharacter(bytes[count++]);
    }
    return count;
}

bool ResponseHeadCheck::addCharacter(char character)
{
    if (!lines_.add(character)) {
        return false;
    }
    if (isStatusLineEnded_ || character == '\r') {
        return true;
    }
    if (character != '\n') {
        return statusLine_.add(character);
    }
    // Empty lines before the status line are ignored.
    isStatusLineEnded_ = lines_.hasBegun();
    return !isStatusLineEnded_ || statusLine_.mayEnd();
}

} // namespace cowsliphead
