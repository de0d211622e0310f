#include "caller/callerserver.h"

#include <event2/buffer.h>
#include <event2/listener.h>

#include "caller/callerexchange.h"
#include "core/errorcode.h"
#include "core/socketport.h"
#include "http/httprequest.h"
#include "task/eventloop.h"
#include "task/timevalue.h"

namespace cowsliphead
{

namespace
{

constexpr int ListenBacklog = 1024;

HttpMethod methodOf(const evhtp_request_t *request)
{
    switch (evhtp_request_get_method(const_cast<evhtp_request_t *>(request))) {
    case htp_method_GET:
        return HttpMethod::Get;
    case htp_method_HEAD:
        return HttpMethod::Head;
    case htp_method_POST:
        return HttpMethod::Post;
    case htp_method_PUT:
        return HttpMethod::Put;
    case htp_method_DELETE:
        return HttpMethod::Delete;
    case htp_method_PATCH:
        return HttpMethod::Patch;
    case htp_method_OPTIONS:
        return HttpMethod::Options;
    default:
        return HttpMethod::Other;
    }
}

int collectHeader(evhtp_kv_t *field, void *headers)
{
    static_cast<HttpHeaders *>(headers)->emplace_back(std::string(field->key, field->klen), std::string(field->val, field->vlen));
    return 0;
}

HttpRequest readRequest(evhtp_request_t *request)
{
    HttpRequest result;
    result.method_ = methodOf(request);
    if (request->uri != nullptr && request->uri->path != nullptr && request->uri->path->full != nullptr) {
        result.path_ = request->uri->path->full;
    }
    if (request->uri != nullptr && request->uri->query_raw != nullptr) {
        result.query_ = reinterpret_cast<const char *>(request->uri->query_raw);
    }
    evhtp_kvs_for_each(request->headers_in, &collectHeader, &result.headers_);
    result.body_.resize(evbuffer_get_length(request->buffer_in));
    evbuffer_copyout(request->buffer_in, result.body_.data(), result.body_.size());
    return result;
}

} // namespace

CallerServer::CallerServer(EventLoop &loop, const CallerLimits &limits, Handler handler)
    : loop_(loop)
    , handler_(std::move(handler))
    , server_(evhtp_new(loop.base(), nullptr))
{
    const timeval readTimeout = toTimeValue(limits.readTimeout_);
    const timeval writeTimeout = toTimeValue(limits.writeTimeout_);
    evhtp_set_timeouts(server_.get(), &readTimeout, &writeTimeout);
    evhtp_set_max_body_size(server_.get(), limits.maxBodyBytes_);
    evhtp_enable_flag(server_.get(), EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_gencb(server_.get(), &CallerServer::onRequest, this);
}

CallerServer::~CallerServer()
{
    stopListening();
}

Result<std::uint16_t> CallerServer::listen(const std::string &address, std::uint16_t port)
{
    if (evhtp_bind_socket(server_.get(), address.c_str(), port, ListenBacklog) != 0) {
        return failure(ErrorCode::ListenFailed);
    }
    isListening_ = true;
    return portOfSocket(evconnlistener_get_fd(server_->server));
}

void CallerServer::useTls(TlsContext context)
{
    // Each open connection holds a reference to the context that it was opened with.
    tls_ = std::move(context);
    server_->ssl_ctx = tls_->handle();
}

void CallerServer::stopListening()
{
    if (isListening_) {
        isListening_ = false;
        evhtp_unbind_socket(server_.get());
    }
}

bool CallerServer::isIdle() const
{
    return openRequests_ == 0;
}

void CallerServer::onIdle(std::function<void()> callback)
{
    onIdle_ = std::move(callback);
}

void CallerServer::onRequest(evhtp_request_t *request, void *self)
{
    auto *server = static_cast<CallerServer *>(self);
    ++server->openRequests_;
    auto exchange = std::make_shared<CallerExchange>(server->loop_, request, [server] { server->onExchangeReleased(); });
    exchange->attach();
    server->handler_(readRequest(request), std::move(exchange));
}

void CallerServer::onExchangeReleased()
{
    --openRequests_;
    if (isIdle() && onIdle_) {
        onIdle_();
    }
}

void CallerServer::FreeServer::operator()(evhtp_t *server) const
{
    // The SSL context is owned by CallerServer::tls_.
    server->ssl_ctx = nullptr;
    evhtp_free(server);
}

} // namespace cowsliphead
