#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "serve/eventtext.h"
#include "serve/streamend.h"

namespace cowsliphead
{

/// Splits a stream of server-sent events, received in pieces of any size, into complete events, and counts them.
/// Thread safety: call only from the owning task.
template <StreamEnd End>
class SseFramer
{
public:
    /// Returns the events that this piece completes, byte for byte; the view is valid until the next call. Data after the last event of the
    /// stream is never returned.
    std::string_view add(std::string_view data)
    {
        pending_.erase(0, emittedBytes_);
        emittedBytes_ = 0;
        pending_.append(data);
        auto end = eventtext::endOfEvent(pending_, 0);
        while (end != std::string::npos && !hasEnded_) {
            count(std::string_view(pending_).substr(emittedBytes_, end - emittedBytes_));
            emittedBytes_ = end;
            end = eventtext::endOfEvent(pending_, end);
        }
        return std::string_view(pending_).substr(0, emittedBytes_);
    }

    /// Discards an incomplete event.
    void discardPartialEvent()
    {
        pending_.clear();
        emittedBytes_ = 0;
    }

    /// Number of events with data that add() returned, not counting the last event of the stream.
    std::uint64_t eventCount() const
    {
        return eventCount_;
    }

    /// True once add() returned the last event of the stream.
    bool hasEnded() const
    {
        return hasEnded_;
    }

private:
    void count(std::string_view event)
    {
        hasEnded_ = End::isLast(event);
        eventCount_ += !hasEnded_ && eventtext::firstData(event) ? 1 : 0;
    }

    /// The bytes that add() returned last, followed by the incomplete event.
    std::string pending_;
    std::size_t emittedBytes_ = 0;
    std::uint64_t eventCount_ = 0;
    bool hasEnded_ = false;
};

} // namespace cowsliphead
