#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <nng/nng.h>

#include "core/result.h"
#include "decide/peeraddress.h"

namespace cowsliphead
{

class EventLoop;
class NngSocket;

/// A connection to one daemon that carries one query at a time. A new query cancels one that has no answer yet.
/// Thread safety: the loop's task only.
class PeerConnection
{
public:
    /// Connects in the background and reconnects whenever the connection is lost. Precondition: the loop outlives the connection.
    PeerConnection(EventLoop &loop, const PeerAddress &peer, std::function<void(std::string_view)> onAnswer);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Sends a query. Until the connection is established the query waits, up to a timeout. Returns false if the query is dropped
    /// because the previous one is still being sent.
    bool sendQuery(const std::string &query);

private:
    /// A send operation in progress. Only onSent() accesses it from nng's thread.
    struct PendingSend {
        PendingSend() = default;
        ~PendingSend();
        PendingSend(const PendingSend &) = delete;
        PendingSend &operator=(const PendingSend &) = delete;

        nng_aio *aio_ = nullptr;
        std::atomic<bool> isBusy_ = false;
    };

    static void onSent(void *pendingSend);

    std::unique_ptr<NngSocket> socket_;
    std::unique_ptr<PendingSend> pendingSend_;
};

} // namespace cowsliphead
