#include "http/httpconnection.h"

#include <event2/http.h>

#include "task/eventloop.h"
#include "task/timevalue.h"

namespace cowsliphead
{

namespace
{

/// Limits on an answer, since a faulty server may send bytes without end: its head, and all of its body, streamed or not.
constexpr ev_ssize_t MaxHeadBytes = 64L << 10;
constexpr ev_ssize_t MaxBodyBytes = 64L << 20;

} // namespace

HttpConnection::HttpConnection(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout)
    : connection_(evhttp_connection_base_new(loop.base(), nullptr, host.c_str(), port))
{
    const timeval value = toTimeValue(timeout);
    evhttp_connection_set_timeout_tv(connection_.get(), &value);
    evhttp_connection_set_max_headers_size(connection_.get(), MaxHeadBytes);
    evhttp_connection_set_max_body_size(connection_.get(), MaxBodyBytes);
}

HttpConnection::~HttpConnection() = default;

evhttp_connection *HttpConnection::handle() const
{
    return connection_.get();
}

void HttpConnection::markUsed()
{
    wasUsed_ = true;
}

bool HttpConnection::wasUsed() const
{
    return wasUsed_;
}

void HttpConnection::ConnectionDeleter::operator()(evhttp_connection *connection) const
{
    evhttp_connection_free(connection);
}

} // namespace cowsliphead
