#include "caller/callerexchange.h"

#include <utility>

#include <event2/buffer.h>

#include "task/eventloop.h"

namespace cowsliphead
{

CallerExchange::CallerExchange(EventLoop &loop, evhtp_request_t *request, std::function<void()> onReleased)
    : loop_(loop)
    , request_(request)
    , onReleased_(std::move(onReleased))
    , unsent_(evbuffer_new())
{
}

CallerExchange::~CallerExchange() = default;

void CallerExchange::attach()
{
    selfReference_ = shared_from_this();
    // From now on libevhtp may free the request at any time; this hook is the only notification.
    evhtp_request_set_hook(
        request_, evhtp_hook_on_request_fini, reinterpret_cast<evhtp_hook>(reinterpret_cast<void *>(&CallerExchange::onRequestFinished)), this);
}

void CallerExchange::reply(const HttpResponseHead &head, std::string_view body)
{
    if (request_ == nullptr) {
        return;
    }
    isStarted_ = true;
    isEnded_ = true;
    writeHeaders(head);
    evbuffer_add(request_->buffer_out, body.data(), body.size());
    evhtp_send_reply(request_, static_cast<evhtp_res>(head.status_));
}

void CallerExchange::startChunks(const HttpResponseHead &head)
{
    if (request_ == nullptr) {
        return;
    }
    isStarted_ = true;
    writeHeaders(head);
    evhtp_send_reply_chunk_start(request_, static_cast<evhtp_res>(head.status_));
}

void CallerExchange::sendChunk(std::string_view data)
{
    if (request_ == nullptr || data.empty()) {
        return;
    }
    const bool isFirst = evbuffer_get_length(unsent_.get()) == 0;
    evbuffer_add(unsent_.get(), data.data(), data.size());
    if (isFirst) {
        // Data that the endpoint sent together arrives in several pieces within one iteration of the loop; deferring sends it as one chunk.
        loop_.defer([exchange = shared_from_this()] { exchange->flush(); });
    }
}

void CallerExchange::endChunks()
{
    if (request_ == nullptr) {
        return;
    }
    flush();
    isEnded_ = true;
    evhtp_send_reply_chunk_end(request_);
}

void CallerExchange::abort()
{
    if (request_ == nullptr) {
        return;
    }
    flush();
    isEnded_ = true;
    auto *connection = evhtp_request_get_connection(request_);
    evhtp_connection_free(connection);
}

void CallerExchange::disableKeepAlive()
{
    if (request_ != nullptr) {
        evhtp_request_set_keepalive(request_, 0);
    }
}

bool CallerExchange::isStarted() const
{
    return isStarted_;
}

void CallerExchange::onCallerLeft(std::function<void()> callback)
{
    onCallerLeft_ = std::move(callback);
}

evhtp_res CallerExchange::onRequestFinished(evhtp_request_t * /*request*/, void *self)
{
    const auto exchange = std::exchange(static_cast<CallerExchange *>(self)->selfReference_, nullptr);
    exchange->request_ = nullptr;
    const auto callback = std::exchange(exchange->onCallerLeft_, nullptr);
    const auto released = std::exchange(exchange->onReleased_, nullptr);
    if (callback && !exchange->isEnded_) {
        callback();
    }
    released();
    return EVHTP_RES_OK;
}

void CallerExchange::flush()
{
    if (request_ != nullptr && evbuffer_get_length(unsent_.get()) > 0) {
        evhtp_send_reply_chunk(request_, unsent_.get());
    }
}

void CallerExchange::FreeBuffer::operator()(evbuffer *buffer) const
{
    evbuffer_free(buffer);
}

void CallerExchange::writeHeaders(const HttpResponseHead &head)
{
    for (const auto &[name, value] : head.headers_) {
        evhtp_headers_add_header(request_->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }
}

} // namespace cowsliphead
