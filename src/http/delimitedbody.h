#pragma once

struct evhttp_request;

namespace cowsliphead
{

/// True if the response says where its body ends; else it ends with the connection. Precondition: the head was read. Thread safety: the request's
/// task only.
bool hasDelimitedBody(evhttp_request *request);

} // namespace cowsliphead
