#include "http/httpclient.h"

#include <utility>

#include "core/systemclock.h"
#include "http/httpcall.h"
#include "http/httpconnection.h"
#include "http/httprequest.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// Connections idle for longer are not reused: a middlebox on the path may have dropped their state.
constexpr std::chrono::seconds MaxIdleTime{ 5 };

} // namespace

HttpClient::HttpClient(EventLoop &loop, std::string host, std::uint16_t port, std::chrono::milliseconds timeout)
    : loop_(loop)
    , host_(std::move(host))
    , port_(port)
    , timeout_(timeout)
    , idle_(std::make_shared<IdleConnections>())
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::call(const HttpRequest &request, HttpCallEvents events, ConnectionChoice choice)
{
    auto returnConnection = [idle = std::weak_ptr(idle_), &loop = loop_](std::unique_ptr<HttpConnection> connection) {
        if (const auto connections = idle.lock()) {
            connections->push_back({ std::move(connection), SystemClock().now() });
        } else {
            loop.defer([closing = std::shared_ptr<HttpConnection>(std::move(connection))] {});
        }
    };
    auto call = std::make_shared<HttpCall>(loop_, takeConnection(choice), std::move(events), std::move(returnConnection));
    auto requestWithHost = request;
    if (headerValue(requestWithHost.headers_, "Host").empty()) {
        requestWithHost.headers_.emplace_back("Host", host_ + ":" + std::to_string(port_));
    }
    call->start(requestWithHost);
    return call;
}

std::size_t HttpClient::idleConnectionCount() const
{
    return idle_->size();
}

void HttpClient::closeIdleConnections()
{
    // This may run inside a callback of one of these connections, so free them in a later iteration of the loop.
    for (auto &idle : *idle_) {
        loop_.defer([closing = std::shared_ptr<HttpConnection>(std::move(idle.connection_))] {});
    }
    idle_->clear();
}

std::unique_ptr<HttpConnection> HttpClient::takeConnection(ConnectionChoice choice)
{
    while (!idle_->empty() && idle_->front().idleSince_ + MaxIdleTime < SystemClock().now()) {
        idle_->pop_front();
    }
    if (idle_->empty() || choice == ConnectionChoice::Fresh) {
        return std::make_unique<HttpConnection>(loop_, host_, port_, timeout_);
    }
    auto connection = std::move(idle_->back().connection_);
    idle_->pop_back();
    return connection;
}

} // namespace cowsliphead
