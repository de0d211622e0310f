#pragma once

#include <chrono>
#include <map>

#include "decide/incarnationkey.h"
#include "task/timer.h"

namespace cowsliphead
{

struct GatewayContext;

/// While requests are quarantined, asks the endpoints that are held to have crashed under them, and are still listed as the same incarnation, whether
/// they went on running. The gateway that lost the answers may have been unable to ask, or may be gone. Thread safety: the context's task only.
class QuarantineReview
{
public:
    /// Precondition: the context outlives the review.
    explicit QuarantineReview(GatewayContext &context);
    ~QuarantineReview();
    QuarantineReview(const QuarantineReview &) = delete;
    QuarantineReview &operator=(const QuarantineReview &) = delete;

    /// Call it after each change of what is quarantined.
    void update();

private:
    /// Gateways ask at different times, so that most learn from one answer.
    static constexpr std::chrono::milliseconds MinInterval{ 2000 };
    static constexpr std::chrono::milliseconds MaxInterval{ 4000 };

    /// A crashed endpoint that has not started again is no longer listed after this time, so that it is not asked.
    static constexpr std::chrono::milliseconds MinCrashAge{ 5000 };

    /// An endpoint that is cut off may answer later, one that has crashed does not.
    static constexpr int MaxQueries = 5;

    void ask();

    GatewayContext &context_;
    Timer timer_;
    bool isScheduled_ = false;

    /// How often each incarnation was asked.
    std::map<IncarnationKey, int> queries_;
};

} // namespace cowsliphead
