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

/// Answers queries of other daemons over nng. Thread safety: the loop's task only.
class PeerServer
{
public:
    using Handler = std::function<RecordAnswer(const RecordQuery &)>;

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
