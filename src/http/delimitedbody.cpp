#include "http/delimitedbody.h"

#include <event2/http.h>

#include "http/httpstatus.h"

namespace cowsliphead
{

bool hasDelimitedBody(evhttp_request *request)
{
    const auto *fields = evhttp_request_get_input_headers(request);
    const bool hasLength = evhttp_find_header(fields, "Content-Length") != nullptr || evhttp_find_header(fields, "Transfer-Encoding") != nullptr;
    const auto status = evhttp_request_get_response_code(request);
    const bool hasNoBody = status == httpstatus::NoContent || status == httpstatus::NotModified || evhttp_request_get_command(request) == EVHTTP_REQ_HEAD;
    return hasLength || hasNoBody;
}

} // namespace cowsliphead
