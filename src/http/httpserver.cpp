#include "http/httpserver.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/errorcode.h"
#include "core/socketport.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

HttpMethod toHttpMethod(evhttp_request *request)
{
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
        return HttpMethod::Get;
    case EVHTTP_REQ_HEAD:
        return HttpMethod::Head;
    case EVHTTP_REQ_POST:
        return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
        return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
        return HttpMethod::Delete;
    case EVHTTP_REQ_PATCH:
        return HttpMethod::Patch;
    case EVHTTP_REQ_OPTIONS:
        return HttpMethod::Options;
    default:
        return HttpMethod::Other;
    }
}

std::string stringOrEmpty(const char *text)
{
    return text == nullptr ? std::string() : std::string(text);
}

HttpRequest readRequest(evhttp_request *request)
{
    HttpRequest result;
    result.method_ = toHttpMethod(request);
    const auto *uri = evhttp_request_get_evhttp_uri(request);
    result.path_ = stringOrEmpty(evhttp_uri_get_path(uri));
    result.query_ = stringOrEmpty(evhttp_uri_get_query(uri));
    const auto *fields = evhttp_request_get_input_headers(request);
    for (const auto *field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
        result.headers_.emplace_back(field->key, field->value);
    }
    auto *body = evhttp_request_get_input_buffer(request);
    result.body_.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, result.body_.data(), result.body_.size());
    return result;
}

/// Sets TCP_NODELAY, which accepted connections inherit. With Nagle's algorithm each chunk would wait for the acknowledgement of
/// the previous one, up to 40 ms.
void disableNagleAlgorithm(evutil_socket_t listener)
{
    const int enabled = 1;
    setsockopt(listener, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

HttpServer::HttpServer(EventLoop &loop, Handler handler)
    : handler_(std::move(handler))
    , server_(evhttp_new(loop.base()))
{
    constexpr int AllowedMethods =
        EVHTTP_REQ_GET | EVHTTP_REQ_HEAD | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;
    evhttp_set_allowed_methods(server_.get(), AllowedMethods);
    evhttp_set_gencb(server_.get(), &HttpServer::onRequest, this);
}

HttpServer::~HttpServer() = default;

Result<std::uint16_t> HttpServer::listen(const std::string &address, std::uint16_t port)
{
    auto *bound = evhttp_bind_socket_with_handle(server_.get(), address.c_str(), port);
    if (bound == nullptr) {
        return failure(ErrorCode::ListenFailed);
    }
    const auto socket = evhttp_bound_socket_get_fd(bound);
    disableNagleAlgorithm(socket);
    return portOfSocket(socket);
}

void HttpServer::onRequest(evhttp_request *request, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    server->handler_(readRequest(request), std::make_shared<HttpResponder>(request));
}

void HttpServer::ServerDeleter::operator()(evhttp *server) const
{
    evhttp_free(server);
}

} // namespace cowsliphead
