#include "serve/attemptplan.h"

#include "decide/requestplan.h"

namespace cowsliphead
{

AttemptPlan planAttempt(const RequestPlan &request, bool wantsStream, std::uint32_t number, MonotonicTime now)
{
    AttemptPlan plan{ request.firstByteTimeout_, request.silenceTimeout_, ConnectionChoice::Any };
    if (!wantsStream && !request.target_.model_.isEmpty()) {
        // A whole completion shows nothing until its last token.
        plan.firstByteTimeout_ = std::chrono::ceil<std::chrono::milliseconds>(request.traits_.deadline_ - now);
    }
    // The server may be closing an idle connection, or it may have gone silent: neither shall cost a request its only or its second attempt.
    if (!request.traits_.isRepeatable_ || number > 1) {
        plan.connection_ = ConnectionChoice::Fresh;
    }
    return plan;
}

} // namespace cowsliphead
