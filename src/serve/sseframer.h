#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "serve/eventboundary.h"
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
        if (pending_.empty() && pending_.capacity() > MaxKeptCapacity) {
            pending_.shrink_to_fit();
        }
        if (hasEnded_) {
            return {};
        }
        auto searchedBytes = pending_.size();
        pending_.append(data);
        while (!hasEnded_) {
            const auto size = boundary_.find(std::string_view(pending_).substr(searchedBytes));
            if (size == std::string_view::npos) {
                break;
            }
            searchedBytes += size;
            count(std::string_view(pending_).substr(emittedBytes_, searchedBytes - emittedBytes_));
            emittedBytes_ = searchedBytes;
        }
        return std::string_view(pending_).substr(0, emittedBytes_);
    }

    /// Discards an incomplete event.
    void discardPartialEvent()
    {
        pending_ = {};
        boundary_ = {};
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
    /// A longer buffer is given back after the event that needed it.
    static constexpr std::size_t MaxKeptCapacity = 65536;

    void count(std::string_view event)
    {
        hasEnded_ = End::isLast(event);
        eventCount_ += !hasEnded_ && eventtext::firstData(event) ? 1 : 0;
    }

    /// The bytes that add() returned last, followed by the incomplete event.
    std::string pending_;
    std::size_t emittedBytes_ = 0;
    EventBoundary boundary_;
    std::uint64_t eventCount_ = 0;
    bool hasEnded_ = false;
};

} // namespace cowsliphead
