#pragma once

#include <functional>
#include <string_view>

#include "gateway/attemptresult.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// What a dispatch reports. The receiver may end the attempt from within any of them.
struct DispatchEvents {
    /// Asked right before the request is written; false withholds it.
    std::function<bool()> mayWrite_;

    /// Asked when the endpoint has given nothing for the plan's time; false waits on, since no other can take over.
    std::function<bool()> mayAbandon_;

    /// A successful stream has begun.
    std::function<void(const ResponseHead &)> onStream_;
    std::function<void(std::string_view)> onData_;
    std::function<void(AttemptResult)> onEnd_;
};

} // namespace cowsliphead
