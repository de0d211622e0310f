#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cowsliphead
{

/// Cuts a stream of server-sent events, which arrives in pieces of any size, into whole events, and counts them.
/// Lines end with LF or CRLF. Knows the event that ends a stream, "data: [DONE]".
class SseFramer
{
public:
    /// The whole events that this piece completes, as they arrived; the view holds until the next call. Nothing follows the ending event.
    /// Thread safety: owner task only.
    std::string_view add(std::string_view data);

    /// Forgets the part of an event that has arrived. Thread safety: owner task only.
    void discardPartialEvent();

    /// Events with data that add() gave out, without the ending one. Thread safety: owner task only.
    std::uint64_t eventCount() const;

    /// True once add() gave out the ending event. Thread safety: owner task only.
    bool hasEnded() const;

private:
    std::size_t findEndOfEvent(std::size_t from) const;
    void count(std::string_view event);

    /// What add() gave out last, followed by the part of an event that has arrived.
    std::string pending_;
    std::size_t givenOut_ = 0;
    std::uint64_t eventCount_ = 0;
    bool hasEnded_ = false;
};

} // namespace cowsliphead
