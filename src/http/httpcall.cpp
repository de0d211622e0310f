#include "http/httpcall.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include "core/errorcode.h"
#include "http/connectionend.h"
#include "http/delimitedbody.h"
#include "http/httpconnection.h"
#include "http/httprequest.h"
#include "http/readresponsehead.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

evhttp_cmd_type toEvhttpCommand(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
        return EVHTTP_REQ_GET;
    case HttpMethod::Head:
        return EVHTTP_REQ_HEAD;
    case HttpMethod::Put:
        return EVHTTP_REQ_PUT;
    case HttpMethod::Delete:
        return EVHTTP_REQ_DELETE;
    case HttpMethod::Patch:
        return EVHTTP_REQ_PATCH;
    case HttpMethod::Options:
        return EVHTTP_REQ_OPTIONS;
    case HttpMethod::Post:
    case HttpMethod::Other:
        break;
    }
    return EVHTTP_REQ_POST;
}

std::error_code toErrorCode(int evhttpError)
{
    if (evhttpError == EVREQ_HTTP_TIMEOUT) {
        return ErrorCode::EndpointTimedOut;
    }
    if (evhttpError == EVREQ_HTTP_INVALID_HEADER || evhttpError == EVREQ_HTTP_DATA_TOO_LONG) {
        return ErrorCode::EndpointAnswerMalformed;
    }
    return ErrorCode::EndpointLost;
}

void writeRequest(evhttp_request *target, const HttpRequest &source)
{
    auto *fields = evhttp_request_get_output_headers(target);
    for (const auto &[name, value] : source.headers_) {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(target), source.body_.data(), source.body_.size());
}

} // namespace

HttpCall::HttpCall(EventLoop &loop, std::unique_ptr<HttpConnection> connection, HttpCallEvents events, ReturnConnection returnConnection)
    : loop_(loop)
    , connection_(std::move(connection))
    , events_(std::move(events))
    , returnConnection_(std::move(returnConnection))
    , isOnFreshConnection_(!connection_->wasUsed())
{
}

HttpCall::~HttpCall() = default;

void HttpCall::start(const HttpRequest &request)
{
    self_ = shared_from_this();
    request_ = evhttp_request_new(&HttpCall::onCompleted, this);
    evhttp_request_set_header_cb(request_, &HttpCall::onHeadRead);
    evhttp_request_set_chunked_cb(request_, &HttpCall::onChunkRead);
    evhttp_request_set_error_cb(request_, [](evhttp_request_error error, void *self) { onRequestError(error, self); });
    writeRequest(request_, request);
    connection_->markUsed();
    beginObserving();
    const auto target = request.query_.empty() ? request.path_ : request.path_ + "?" + request.query_;
    if (evhttp_make_request(connection_->handle(), request_, toEvhttpCommand(request.method_), target.c_str()) != 0) {
        // libevent has freed the request and will not call back. Report the failure through onEnd_, like any other.
        request_ = nullptr;
        loop_.defer([call = self_] { call->end(nullptr); });
    }
}

void HttpCall::cancel()
{
    auto events = std::exchange(events_, {});
    if (self_) {
        // This may run inside a callback of libevent or of events_, so close the connection in a later iteration of the loop.
        loop_.defer([call = self_, events = std::move(events)] { call->closeConnection(); });
    }
}

bool HttpCall::mayHaveBeenSent() const
{
    return mayHaveBeenSent_;
}

bool HttpCall::isOnFreshConnection() const
{
    return isOnFreshConnection_;
}

int HttpCall::onHeadRead(evhttp_request *request, void *self)
{
    auto *call = static_cast<HttpCall *>(self);
    const auto head = call->head_->isValid() ? readResponseHead(request) : failure(ErrorCode::EndpointAnswerMalformed);
    if (!head) {
        call->error_ = head.error();
        return -1;
    }
    call->isHeadRead_ = true;
    call->isLastOnConnection_ = isSameHeaderName(headerValue(head->headers_, "Connection"), "close");
    // With this field libevent would close the socket before end(), which reads from it how the connection ended.
    evhttp_remove_header(evhttp_request_get_input_headers(request), "Connection");
    if (call->events_.onHead_) {
        call->events_.onHead_(*head);
    }
    return 0;
}

void HttpCall::onChunkRead(evhttp_request *request, void *self)
{
    auto *call = static_cast<HttpCall *>(self);
    auto *buffer = evhttp_request_get_input_buffer(request);
    const auto length = evbuffer_get_length(buffer);
    if (length > 0 && call->events_.onData_) {
        const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(buffer, -1));
        call->events_.onData_(std::string_view(data, length));
    }
}

void HttpCall::onCompleted(evhttp_request *request, void *self)
{
    static_cast<HttpCall *>(self)->end(request);
}

void HttpCall::onRequestError(int error, void *self)
{
    auto *call = static_cast<HttpCall *>(self);
    // libevent reports an invalid head, which onHeadRead() has rejected, as a lost connection.
    if (!call->error_) {
        call->error_ = toErrorCode(error);
    }
}

void HttpCall::onOutputChanged(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *self)
{
    if (info->n_deleted > 0) {
        static_cast<HttpCall *>(self)->mayHaveBeenSent_ = true;
    }
}

void HttpCall::end(evhttp_request *request)
{
    if (!connection_) {
        return;
    }
    const auto self = std::exchange(self_, nullptr);
    const bool isAnswerRead = request != nullptr && isHeadRead_ && !error_;
    const bool isDelimited = isAnswerRead && hasDelimitedBody(request);
    // A body with neither a length nor chunks is complete if the connection ended in order; libevent reports most resets as errors.
    const bool isAnswerComplete = isDelimited || (isAnswerRead && hasEndedInOrder(evhttp_connection_get_bufferevent(connection_->handle())));
    const bool canReuse = isDelimited && isConnectionReusable();
    request_ = nullptr;
    endObserving();
    const auto onEnd = std::exchange(events_, {}).onEnd_;
    if (canReuse) {
        returnConnection_(std::move(connection_));
    } else {
        // libevent is still using the connection, so free it in a later iteration of the loop.
        loop_.defer([connection = std::shared_ptr<HttpConnection>(std::move(connection_))] {});
    }
    if (!onEnd) {
        return;
    }
    if (isAnswerComplete) {
        onEnd({});
    } else {
        onEnd(tl::unexpected(HttpCallFailure{ error_ ? error_ : make_error_code(ErrorCode::EndpointLost), mayHaveBeenSent_ }));
    }
}

void HttpCall::closeConnection()
{
    if (!connection_) {
        return;
    }
    const auto self = std::exchange(self_, nullptr);
    endObserving();
    if (request_ != nullptr) {
        evhttp_cancel_request(std::exchange(request_, nullptr));
    }
    connection_.reset();
}

void HttpCall::beginObserving()
{
    auto *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection_->handle()));
    evbuffer_add_cb(output, &HttpCall::onOutputChanged, this);
    head_.emplace(evhttp_connection_get_bufferevent(connection_->handle()));
}

void HttpCall::endObserving()
{
    auto *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection_->handle()));
    evbuffer_remove_cb(output, &HttpCall::onOutputChanged, this);
    head_.reset();
}

bool HttpCall::isConnectionReusable() const
{
    // Bytes after the answer would be parsed as the head of the next one.
    auto *input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection_->handle()));
    return evbuffer_get_length(input) == 0 && !isLastOnConnection_;
}

} // namespace cowsliphead
