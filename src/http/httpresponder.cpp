#include "http/httpresponder.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>

namespace cowsliphead
{

HttpResponder::HttpResponder(evhttp_request *request)
    : request_(request)
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(request_), &HttpResponder::onConnectionClosed, this);
}

HttpResponder::~HttpResponder()
{
    if (request_ != nullptr) {
        abort();
    }
}

void HttpResponder::reply(const HttpResponseHead &head, std::string_view body)
{
    if (request_ == nullptr) {
        return;
    }
    writeHeaders(head);
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    auto *request = request_;
    release();
    evhttp_send_reply(request, head.status_, nullptr, buffer);
    evbuffer_free(buffer);
}

void HttpResponder::startChunks(const HttpResponseHead &head)
{
    if (request_ == nullptr) {
        return;
    }
    writeHeaders(head);
    evhttp_send_reply_start(request_, head.status_, nullptr);
}

void HttpResponder::sendChunk(std::string_view data)
{
    if (request_ == nullptr) {
        return;
    }
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk(request_, buffer);
    evbuffer_free(buffer);
}

void HttpResponder::endChunks()
{
    if (request_ == nullptr) {
        return;
    }
    auto *request = request_;
    release();
    evhttp_send_reply_end(request);
}

void HttpResponder::abort()
{
    if (request_ == nullptr) {
        return;
    }
    auto *connection = evhttp_request_get_connection(request_);
    release();
    evhttp_connection_free(connection);
}

bool HttpResponder::isOpen() const
{
    return request_ != nullptr;
}

void HttpResponder::onClientDisconnected(std::function<void()> callback)
{
    clientLeft_ = std::move(callback);
}

std::uint16_t HttpResponder::clientPort() const
{
    char *address = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request_), &address, &port);
    return port;
}

void HttpResponder::onConnectionClosed(evhttp_connection * /*connection*/, void *self)
{
    auto *responder = static_cast<HttpResponder *>(self);
    responder->request_ = nullptr;
    const auto callback = std::exchange(responder->clientLeft_, nullptr);
    if (callback) {
        callback();
    }
}

void HttpResponder::writeHeaders(const HttpResponseHead &head)
{
    auto *fields = evhttp_request_get_output_headers(request_);
    for (const auto &[name, value] : head.headers_) {
        evhttp_add_header(fields, name.c_str(), value.c_str());
    }
}

void HttpResponder::release()
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(request_), nullptr, nullptr);
    request_ = nullptr;
    clientLeft_ = nullptr;
}

} // namespace cowsliphead
