#pragma once

#include "core/result.h"
#include "http/httpresponsehead.h"

struct evhttp_request;

namespace cowsliphead
{

/// Returns the head of the response that libevent has read for the request; libevent itself accepts any status but 0, and nearly any field name.
/// Errors: EndpointAnswerMalformed. Precondition: the head was read. Thread safety: the request's task only.
Result<HttpResponseHead> readResponseHead(evhttp_request *request);

} // namespace cowsliphead
