#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <nng/nng.h>

#include "core/result.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

class EventLoop;
class NngSocket;

/// Answers queries of other daemons over nng. Thread safety: the loop's task only.
class PeerServer
{
public:
    /// Returns the encoded answer to an encoded query, or nothing to leave a malformed one without an answer.
    using Handler = std::function<std::optional<std::string>(std::string_view)>;

    /// Precondition: the loop outlives the server.
    PeerServer(EventLoop &loop, Handler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Listens on the address; port 0 selects a free port. Returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const PeerAddress &address);

private:
    void handle(nng_msg *message);

    EventLoop &loop_;
    Handler handler_;
    std::unique_ptr<NngSocket> socket_;
};

} // namespace cowsliphead
