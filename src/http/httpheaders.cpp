#include "http/httpheaders.h"

#include <strings.h>

namespace cowsliphead
{

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

} // namespace cowsliphead
