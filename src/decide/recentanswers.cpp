#include "decide/recentanswers.h"

#include <utility>

namespace cowsliphead
{

void RecentAnswers::add(SuspectKey suspect, MonotonicTime now)
{
    if (newer_.size() >= MaxSuspects && !newer_.contains(suspect)) {
        older_ = std::exchange(newer_, {});
    }
    newer_[suspect] = now;
}

std::optional<MonotonicTime> RecentAnswers::lastOf(SuspectKey suspect) const
{
    for (const auto *generation : { &newer_, &older_ }) {
        const auto found = generation->find(suspect);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace cowsliphead
