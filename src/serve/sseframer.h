#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowsliphead
{

/// Splits a stream of server-sent events, received in pieces of any size, into complete events, and counts them.
/// Lines end with LF or CRLF. The stream is terminated by the event "data: [DONE]".
/// Thread safety: call only from the owning task.
class SseFramer
{
public:
    /// Returns the events that this piece completes, byte for byte; the view is valid until the next call. Data after the terminating event is
    /// never returned.
    std::string_view add(std::string_view data);

    /// Discards an incomplete event.
    void discardPartialEvent();

    /// Number of events with data that add() returned, not counting the terminating event.
    std::uint64_t eventCount() const;

    /// True once add() returned the terminating event.
    bool hasEnded() const;

private:
    std::size_t findEndOfEvent(std::size_t from) const;
    void count(std::string_view event);

    /// The bytes that add() returned last, followed by the incomplete event.
    std::string pending_;
    std::size_t emittedBytes_ = 0;
    std::uint64_t eventCount_ = 0;
    bool hasEnded_ = false;
};

} // namespace cowsliphead
