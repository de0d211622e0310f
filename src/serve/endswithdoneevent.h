#pragma once

#include <string_view>

namespace cowsliphead
{

/// A stream of the product's own interface, which the event "data: [DONE]" terminates.
struct EndsWithDoneEvent {
    /// Precondition: event is complete. Thread safety: any thread.
    static bool isLast(std::string_view event);
};

} // namespace cowsliphead
