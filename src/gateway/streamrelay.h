#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "gateway/eventposition.h"
#include "serve/sseframer.h"

namespace cowsliphead
{

class CallerConnection;
struct ResponseHead;

/// Passes a stream on to a caller in whole events, so that another endpoint can go on after any of them.
class StreamRelay
{
public:
    /// Precondition: the connection outlives the relay. Thread safety: the connection's task only.
    explicit StreamRelay(CallerConnection &connection);

    /// An endpoint's stream begins; the first one's head goes to the caller. Thread safety: the connection's task only.
    void begin(const ResponseHead &head);

    /// Passes on the whole events that this piece completes. Precondition: begin() was called. Thread safety: the connection's task only.
    void pass(std::string_view data);

    /// Forgets the part of an event that an endpoint left behind. Thread safety: the connection's task only.
    void discardPartialEvent();

    /// True once the caller got a head. Thread safety: the connection's task only.
    bool hasBegun() const;

    /// True if the stream stands in the middle of an event. Thread safety: the connection's task only.
    bool hasPartial() const;

    /// The last event that was passed on; empty before the first one that has an identifier. Thread safety: the connection's task only.
    const std::string &lastEventId() const;

private:
    CallerConnection &connection_;
    SseFramer framer_;
    EventPosition position_;
    std::size_t heldBytes_ = 0;
    bool hasBegun_ = false;
};

} // namespace cowsliphead
