#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "http1/bufferedanswer.h"
#include "http1/connectionfailure.h"
#include "http1/requesthead.h"
#include "http1/socketaddress.h"

#include <tl/expected.hpp>

namespace cowsliphead
{

class ClientConnection;
class EventLoop;

/// HTTP client for one server that buffers each answer completely, for small answers. Reuses idle connections.
/// Thread safety: the loop's task only.
class BufferedHttpClient
{
public:
    using Reply = std::function<void(const tl::expected<BufferedAnswer, ConnectionFailure> &)>;

    /// Precondition: the loop outlives the client.
    BufferedHttpClient(EventLoop &loop, SocketAddress address);
    ~BufferedHttpClient();
    BufferedHttpClient(const BufferedHttpClient &) = delete;
    BufferedHttpClient &operator=(const BufferedHttpClient &) = delete;

    /// Sends a request and calls reply once, in a later iteration of the loop and within the timeout.
    /// No reply follows once the client is destroyed.
    void call(RequestHead head, const std::string &body, std::chrono::milliseconds timeout, Reply reply);

private:
    struct Call;

    std::shared_ptr<ClientConnection> takeConnection();
    void finish(const std::shared_ptr<Call> &call, const tl::expected<BufferedAnswer, ConnectionFailure> &answer);

    EventLoop &loop_;
    SocketAddress address_;
    std::deque<std::shared_ptr<ClientConnection>> idle_;

    /// Points to this client, or is null once the client is destroyed. Checked by pending calls.
    std::shared_ptr<BufferedHttpClient *> self_ = std::make_shared<BufferedHttpClient *>(this);
};

} // namespace cowsliphead
