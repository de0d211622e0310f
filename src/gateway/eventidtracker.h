#pragma once

#include <string>
#include <string_view>

namespace cowsliphead
{

/// Tracks the identifier of the last event in a stream, from which the stream can resume. Thread safety: owner task only.
class EventIdTracker
{
public:
    /// Precondition: events holds complete server-sent events.
    void addEvents(std::string_view events);

    /// Empty before the first event with an identifier.
    const std::string &lastId() const
    {
        return lastId_;
    }

private:
    std::string lastId_;
    bool hasBegun_ = false;
};

} // namespace cowsliphead
