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

/// HTTP server that passes each request to a handler. Thread safety: the loop's task only.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    /// Precondition: the loop outlives the server.
    HttpServer(EventLoop &loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts listening and returns the port; port 0 picks a free one. Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

private:
    struct ServerDeleter {
        void operator()(evhttp *server) const;
    };

    static void onRequest(evhttp_request *request, void *self);

    Handler handler_;
    std::unique_ptr<evhttp, ServerDeleter> server_;
};

} // namespace cowsliphead
