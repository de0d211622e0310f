#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <evhtp/evhtp.h>

#include "caller/callerlimits.h"
#include "caller/tlscontext.h"
#include "core/result.h"

namespace cowsliphead
{

class CallerExchange;
class EventLoop;
struct HttpRequest;

/// HTTP server for callers; passes each request to a handler.
/// Thread safety: call only from the event loop's task.
class CallerServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<CallerExchange>)>;

    /// Precondition: the loop outlives the server.
    CallerServer(EventLoop &loop, const CallerLimits &limits, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Starts listening and returns the port; port 0 selects a free one.
    /// Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Uses TLS with this certificate for new connections; open connections keep theirs.
    void useTls(TlsContext context);

    /// Stops accepting connections; open ones are kept.
    void stopListening();

    /// True if all requests were answered and all responses were written completely.
    bool isIdle() const;

    /// Sets a callback that is called each time the server becomes idle.
    void onIdle(std::function<void()> callback);

private:
    struct FreeServer {
        void operator()(evhtp_t *server) const;
    };

    static void onRequest(evhtp_request_t *request, void *self);

    void onExchangeReleased();

    EventLoop &loop_;
    Handler handler_;
    std::function<void()> onIdle_;
    std::size_t openRequests_ = 0;
    std::optional<TlsContext> tls_;
    std::unique_ptr<evhtp_t, FreeServer> server_;
    bool isListening_ = false;
};

} // namespace cowsliphead
