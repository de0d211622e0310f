#include "http/httpheaders.h"

#include <strings.h>

namespace cowsliphead
{

namespace
{

constexpr std::string_view NameCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

} // namespace

std::string headerValue(const HttpHeaders &headers, const std::string &name)
{
    for (const auto &[field, value] : headers) {
        if (isSameHeaderName(field, name)) {
            return value;
        }
    }
    return {};
}

bool isSameHeaderName(const std::string &left, const std::string &right)
{
    return left.size() == right.size() && strcasecmp(left.c_str(), right.c_str()) == 0;
}

bool hasOnlyNameCharacters(std::string_view text)
{
    return text.find_first_not_of(NameCharacters) == std::string_view::npos;
}

} // namespace cowsliphead
