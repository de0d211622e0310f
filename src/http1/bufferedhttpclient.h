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

/// Calls one server whose answers are small; idle connections are used again.
class BufferedHttpClient
{
public:
    using Reply = std::function<void(const tl::expected<BufferedAnswer, ConnectionFailure> &)>;

    /// Precondition: the loop outlives the client. Thread safety: the loop's task only.
    BufferedHttpClient(EventLoop &loop, SocketAddress address);
    ~BufferedHttpClient();
    BufferedHttpClient(const BufferedHttpClient &) = delete;
    BufferedHttpClient &operator=(const BufferedHttpClient &) = delete;

    /// Answers once, in a later turn, within the timeout. Replies that are open when the client goes are dropped.
    /// Thread safety: the loop's task only.
    void call(RequestHead head, const std::string &body, std::chrono::milliseconds timeout, Reply reply);

private:
    struct Call;

    std::shared_ptr<ClientConnection> takeConnection();
    void finish(const std::shared_ptr<Call> &call, const tl::expected<BufferedAnswer, ConnectionFailure> &answer);

    EventLoop &loop_;
    SocketAddress address_;
    std::deque<std::shared_ptr<ClientConnection>> idle_;

    /// Lets replies tell whether the client still exists.
    std::shared_ptr<BufferedHttpClient *> self_ = std::make_shared<BufferedHttpClient *>(this);
};

} // namespace cowsliphead
