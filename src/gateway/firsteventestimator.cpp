#include "gateway/firsteventestimator.h"

namespace cowsliphead
{

std::optional<FirstEventEstimate> firstEventEstimate(const placement::Candidates &engines, std::uint64_t tokens, MonotonicTime now)
{
    std::optional<FirstEventEstimate> best;
    for (const auto *engine : engines) {
        if (!engine->loadOfOthers(now)) {
            return std::nullopt;
        }
        // The number of gateways matters only without a report.
        const FirstEventEstimate estimate{ .queue_ = placement::prefillWait(*engine, 1, now), .reading_ = PrefillQueue::prefillTime(tokens) };
        if (!best || estimate.total() < best->total()) {
            best = estimate;
        }
    }
    return best;
}

} // namespace cowsliphead
