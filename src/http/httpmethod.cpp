#include "http/httpmethod.h"

namespace cowsliphead
{

const char *httpMethodName(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
        return "GET";
    case HttpMethod::Head:
        return "HEAD";
    case HttpMethod::Post:
        return "POST";
    case HttpMethod::Put:
        return "PUT";
    case HttpMethod::Delete:
        return "DELETE";
    case HttpMethod::Patch:
        return "PATCH";
    case HttpMethod::Options:
        return "OPTIONS";
    case HttpMethod::Other:
        break;
    }
    return "OTHER";
}

bool isIdempotentMethod(HttpMethod method)
{
    return method != HttpMethod::Post && method != HttpMethod::Patch && method != HttpMethod::Other;
}

} // namespace cowsliphead
