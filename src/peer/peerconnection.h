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

/// A connection to one daemon that carries one question at a time; a new one takes the place of one that is still open.
class PeerConnection
{
public:
    /// Connects in the background, and again whenever the connection is lost. Precondition: the loop outlives it.
    /// Thread safety: the loop's task only.
    PeerConnection(EventLoop &loop, const PeerAddress &peer, std::function<void(std::string_view)> onAnswer);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Sends a question; without a connection it waits for one for a while. Returns false if it is dropped, because the one before is
    /// still on its way out. Thread safety: the loop's task only.
    bool ask(const std::string &question);

private:
    /// A send under way. nng's thread touches it only in onSent().
    struct Sending {
        Sending() = default;
        ~Sending();
        Sending(const Sending &) = delete;
        Sending &operator=(const Sending &) = delete;

        nng_aio *aio_ = nullptr;
        std::atomic<bool> isBusy_ = false;
    };

    static void onSent(void *sending);

    std::unique_ptr<NngSocket> socket_;
    std::unique_ptr<Sending> sending_;
};

} // namespace cowsliphead
