#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "gateway/eventidtracker.h"
#include "gateway/streamprogress.h"
#include "serve/endswithconnection.h"
#include "serve/sseframer.h"

namespace cowsliphead
{

class CallerConnection;
struct ResponseHead;

/// Forwards a stream to a caller in whole events, so that another endpoint can resume it after any event. Thread safety: the connection's
/// task only.
class StreamRelay
{
public:
    /// Precondition: the connection outlives the relay.
    explicit StreamRelay(CallerConnection &connection);

    /// Starts a stream; only the first endpoint's head is sent to the caller.
    void begin(const ResponseHead &head);

    /// Forwards the events that this data completes. Precondition: begin() was called.
    StreamProgress forward(std::string_view data);

    /// Discards an incomplete event of the previous endpoint.
    void discardPartialEvent();

    /// True once the response head was sent to the caller.
    bool hasBegun() const;

    /// True if an incomplete event is buffered.
    bool hasPartialEvent() const;

    /// Identifier of the last forwarded event; empty before the first event with an identifier.
    const std::string &lastEventId() const;

private:
    /// A faulty endpoint may send an event without end.
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    CallerConnection &connection_;
    SseFramer<EndsWithConnection> framer_;
    EventIdTracker eventIds_;
    std::size_t partialBytes_ = 0;
    bool hasBegun_ = false;
};

} // namespace cowsliphead
