#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <nng/nng.h>

#include "core/result.h"
#include "decide/peeraddress.h"
#include "peer/recordanswer.h"
#include "peer/recordquery.h"

namespace cowsliphead
{

class EventLoop;
class NngSocket;

/// Answers the questions of other daemons over nng.
class PeerServer
{
public:
    using Handler = std::function<RecordAnswer(const RecordQuery &)>;

    /// Precondition: the loop outlives the server. Thread safety: the loop's task only.
    PeerServer(EventLoop &loop, Handler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Port 0 takes a free one. Returns the port. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const PeerAddress &address);

private:
    void handle(nng_msg *message);

    EventLoop &loop_;
    Handler handler_;
    std::unique_ptr<NngSocket> socket_;
};

} // namespace cowsliphead
