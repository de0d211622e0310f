#include "http/httpheaders.h"

#include <boost/algorithm/string/predicate.hpp>

namespace cowsliphead
{

std::string headerValue(const HttpHeaders &headers, const std::string &name)
{
    for (const auto &[field, value] : headers) {
        if (isSameHeader(field, name)) {
            return value;
        }
    }
    return {};
}

bool isSameHeader(const std::string &left, const std::string &right)
{
    return boost::algorithm::iequals(left, right);
}

} // namespace cowsliphead
