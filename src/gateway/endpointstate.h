#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "core/time.h"
#include "decide/endpointpause.h"
#include "decide/incarnationkey.h"
#include "fleet/endpointentry.h"
#include "gateway/latencyratio.h"
#include "gateway/prefillqueue.h"
#include "relay/endpointload.h"

namespace cowsliphead
{

class ClientConnection;

/// This gateway's state of an endpoint.
struct EndpointState {
    EndpointEntry entry_;

    /// Of the endpoint, whichever incarnation of it runs.
    EndpointKey key_ = 0;
    IncarnationKey incarnation_{};

    /// Of this incarnation, under which gateways tell each other of loads and speeds.
    EndpointKey reportKey_ = 0;

    /// Requests of this gateway that the endpoint is processing.
    std::uint32_t running_ = 0;

    /// What the other gateways have placed here, and when that was reported.
    EndpointLoad others_;
    MonotonicTime othersAt_;

    /// What the other gateways have placed here; nothing if no recent report tells. Thread safety: owner task only.
    std::optional<EndpointLoad> loadOfOthers(MonotonicTime now) const
    {
        return now - othersAt_ <= ReportLifetime ? std::optional<EndpointLoad>(others_) : std::nullopt;
    }

    /// Prompts of this gateway that the endpoint has yet to read.
    PrefillQueue prefillQueue_;
    LatencyRatio latencyRatio_;

    /// Idle connections; the most recently used one is at the back.
    std::deque<std::shared_ptr<ClientConnection>> idle_;

    /// The endpoint has said in an answer that it leaves.
    bool isLeaving_ = false;
    EndpointPause pause_;

    /// When the connection was opened on which it last said that it leaves, or asked for a pause. The connection may have led to the next incarnation of
    /// the endpoint, if that was not listed yet.
    MonotonicTime wishOpenedAt_;

    /// True if the endpoint may get another request. Thread safety: owner task only.
    bool mayDispatch(MonotonicTime now) const
    {
        return isListed_ && !isLeaving_ && pause_.mayDispatch(running_, now);
    }

    /// False once the endpoint was removed; running dispatches keep the state alive.
    bool isListed_ = true;

private:
    /// Older reports say less than what this gateway sees itself.
    static constexpr std::chrono::milliseconds ReportLifetime{ 1500 };
};

} // namespace cowsliphead
