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

/// Listens for callers and hands each request to a handler.
class CallerServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<CallerExchange>)>;

    /// Precondition: the loop outlives the server. Thread safety: the loop's task only.
    CallerServer(EventLoop &loop, const CallerLimits &limits, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Starts to listen; port 0 takes a free one. Returns the port. Thread safety: the loop's task only.
    /// Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// New connections speak TLS with this certificate from now on; open ones keep theirs. Thread safety: the loop's task only.
    void useTls(TlsContext context);

    /// Takes no new connection; open ones go on. Thread safety: the loop's task only.
    void stopListening();

    /// True if no response is still to be given or written out. Thread safety: the loop's task only.
    bool isIdle() const;

    /// Calls back each time that the server becomes idle. Thread safety: the loop's task only.
    void onIdle(std::function<void()> callback);

private:
    struct FreeServer {
        void operator()(evhtp_t *server) const;
    };

    static void onRequest(evhtp_request_t *request, void *self);

    void release();

    EventLoop &loop_;
    Handler handler_;
    std::function<void()> idle_;
    std::size_t openRequests_ = 0;
    std::optional<TlsContext> tls_;
    std::unique_ptr<evhtp_t, FreeServer> server_;
    bool isListening_ = false;
};

} // namespace cowsliphead
