#pragma once

#include <string>
#include <string_view>

namespace cowsliphead
{

/// Finds the identifier of the last event in a stream, after which the stream can go on.
class EventPosition
{
public:
    /// Takes whole server-sent events. Thread safety: owner task only.
    void passed(std::string_view events);

    /// Empty before the first event that has one. Thread safety: owner task only.
    const std::string &lastId() const
    {
        return lastId_;
    }

private:
    std::string lastId_;
};

} // namespace cowsliphead
