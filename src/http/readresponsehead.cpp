#include "http/readresponsehead.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "core/errorcode.h"
#include "http/httpstatus.h"

namespace cowsliphead
{

Result<HttpResponseHead> readResponseHead(evhttp_request *request)
{
    HttpResponseHead head;
    head.status_ = evhttp_request_get_response_code(request);
    if (!httpstatus::isValid(head.status_)) {
        return failure(ErrorCode::EndpointAnswerMalformed);
    }
    const auto *fields = evhttp_request_get_input_headers(request);
    for (const auto *field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
        const auto &name = head.headers_.emplace_back(field->key, field->value).first;
        if (name.empty() || !hasOnlyNameCharacters(name)) {
            return failure(ErrorCode::EndpointAnswerMalformed);
        }
    }
    return head;
}

} // namespace cowsliphead
