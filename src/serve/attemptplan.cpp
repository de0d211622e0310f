#include "serve/attemptplan.h"

#include "decide/requestplan.h"

namespace cowsliphead
{

AttemptPlan planAttempt(const RequestPlan &request, bool isStreamRequested, std::uint32_t number, MonotonicTime now)
{
    AttemptPlan plan{ request.firstByteTimeout_, request.silenceTimeout_, ConnectionChoice::Any };
    if (!isStreamRequested && !request.target_.model_.isEmpty()) {
        // An endpoint sends no byte of an unstreamed completion before the last token is generated, so only the deadline limits the wait.
        plan.firstByteTimeout_ = std::chrono::ceil<std::chrono::milliseconds>(request.traits_.deadline_ - now);
    }
    // An idle connection may be about to be closed by the server, or may be broken without this process knowing. An attempt that must not
    // be repeated, and any retry, therefore uses a new connection.
    if (!request.traits_.isRepeatable_ || number > 1) {
        plan.connection_ = ConnectionChoice::Fresh;
    }
    return plan;
}

} // namespace cowsliphead
