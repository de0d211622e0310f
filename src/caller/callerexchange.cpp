#include "caller/callerexchange.h"

#include <utility>

#include <event2/buffer.h>

namespace cowsliphead
{

namespace
{

/// Buffers that are filled for one write and emptied by it.
class WriteBuffer
{
public:
    explicit WriteBuffer(std::string_view data)
        : buffer_(evbuffer_new())
    {
        evbuffer_add(buffer_, data.data(), data.size());
    }

    ~WriteBuffer()
    {
        evbuffer_free(buffer_);
    }

    WriteBuffer(const WriteBuffer &) = delete;
    WriteBuffer &operator=(const WriteBuffer &) = delete;

    evbuffer *get() const
    {
        return buffer_;
    }

private:
    evbuffer *buffer_;
};

} // namespace

CallerExchange::CallerExchange(evhtp_request_t *request, std::function<void()> onReleased)
    : request_(request)
    , released_(std::move(onReleased))
{
}

CallerExchange::~CallerExchange() = default;

void CallerExchange::attach()
{
    self_ = shared_from_this();
    // The library may free the request at any time from now on; only this hook tells.
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
    const WriteBuffer buffer(data);
    evhtp_send_reply_chunk(request_, buffer.get());
}

void CallerExchange::endChunks()
{
    if (request_ == nullptr) {
        return;
    }
    isEnded_ = true;
    evhtp_send_reply_chunk_end(request_);
}

void CallerExchange::abort()
{
    if (request_ == nullptr) {
        return;
    }
    isEnded_ = true;
    auto *connection = evhtp_request_get_connection(request_);
    evhtp_connection_free(connection);
}

void CallerExchange::closeConnectionAfter()
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
    callerLeft_ = std::move(callback);
}

evhtp_res CallerExchange::onRequestFinished(evhtp_request_t * /*request*/, void *self)
{
    const auto exchange = std::exchange(static_cast<CallerExchange *>(self)->self_, nullptr);
    exchange->request_ = nullptr;
    const auto callback = std::exchange(exchange->callerLeft_, nullptr);
    const auto released = std::exchange(exchange->released_, nullptr);
    if (callback && !exchange->isEnded_) {
        callback();
    }
    released();
    return EVHTP_RES_OK;
}

void CallerExchange::writeHeaders(const HttpResponseHead &head)
{
    for (const auto &[name, value] : head.headers_) {
        evhtp_headers_add_header(request_->headers_out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }
}

} // namespace cowsliphead
