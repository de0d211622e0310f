#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/result.h"

struct evhttp;
struct evhttp_request;

namespace cowsliphead
{

class EventLoop;
class HttpResponder;
struct HttpRequest;

/// Takes in requests over HTTP and hands each one to a handler.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    /// Precondition: the loop outlives the server. Thread safety: the loop's task only.
    HttpServer(EventLoop &loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to listen; port 0 takes a free one. Returns the port. Thread safety: the loop's task only.
    /// Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

private:
    struct FreeServer {
        void operator()(evhttp *server) const;
    };

    static void onRequest(evhttp_request *request, void *self);

    Handler handler_;
    std::unique_ptr<evhttp, FreeServer> server_;
};

} // namespace cowsliphead
