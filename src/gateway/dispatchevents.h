#pragma once

#include <functional>
#include <string_view>

#include "gateway/attemptresult.h"
#include "gateway/streamprogress.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// Callbacks of a dispatch. Only onEnd_ may destroy the dispatch.
struct DispatchEvents {
    /// Called right before the request is written; false withholds the request.
    std::function<bool()> mayWrite_;

    /// Called when the endpoint has sent no data for the plan's timeout; false keeps waiting, since no other endpoint can continue.
    std::function<bool()> mayAbandon_;

    /// A successful streamed response has begun.
    std::function<void(const ResponseHead &)> onStream_;
    std::function<StreamProgress(std::string_view)> onData_;
    std::function<void(AttemptResult)> onEnd_;
};

} // namespace cowsliphead
