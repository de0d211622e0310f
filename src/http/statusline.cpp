#include "http/statusline.h"

#include <string_view>

namespace cowsliphead
{

namespace
{

constexpr std::string_view VersionPrefix = "HTTP/1.";
constexpr std::size_t StatusAt = VersionPrefix.size() + 2;
constexpr std::size_t StatusEnd = StatusAt + 3;
constexpr int Ten = 10;

} // namespace

bool StatusLine::add(char character)
{
    const auto at = length_++;
    if (at < VersionPrefix.size()) {
        return character == VersionPrefix[at];
    }
    if (at == VersionPrefix.size()) {
        return character == '0' || character == '1';
    }
    if (at == StatusAt - 1 || at == StatusEnd) {
        return character == ' ';
    }
    if (at < StatusEnd) {
        status_ = status_ * Ten + (character - '0');
        return character >= '0' && character <= '9';
    }
    return true;
}

bool StatusLine::mayEnd() const
{
    return length_ >= StatusEnd;
}

} // namespace cowsliphead
