#include "relay/failureboard.h"

#include <algorithm>

namespace cowsliphead
{

void FailureBoard::report(const LoadReporter &reporter, const EndpointFailures &failures, MonotonicTime now)
{
    for (auto &[known, report] : reports_) {
        std::erase_if(report, [now](const auto &item) { return now - item.second.at_ >= Lifetime; });
    }
    std::erase_if(reports_, [](const auto &item) { return item.second.empty(); });
    for (const auto &failure : failures) {
        auto &seen = reports_[reporter][{ failure.endpoint_, failure.kind_ }];
        seen = { failure, std::max(seen.at_, now - failure.age_) };
        if (reporter.isMember()) {
            seen.failure_.gateways_ = 1;
        }
    }
}

EndpointFailures FailureBoard::domainTotal(MonotonicTime now) const
{
    return total(now, [](const LoadReporter &reporter) { return reporter.isMember(); });
}

EndpointFailures FailureBoard::fleetWithout(const InstanceId &gateway, MonotonicTime now) const
{
    return total(now, [excluded = LoadReporter{ {}, gateway }](const LoadReporter &reporter) { return reporter != excluded; });
}

template <typename IsCounted>
EndpointFailures FailureBoard::total(MonotonicTime now, IsCounted isCounted) const
{
    std::map<Key, Seen> sums;
    for (const auto &[reporter, report] : reports_) {
        if (!isCounted(reporter)) {
            continue;
        }
        for (const auto &[key, seen] : report) {
            if (now - seen.at_ >= Lifetime) {
                continue;
            }
            const auto [sum, isNew] = sums.try_emplace(key, seen);
            if (!isNew) {
                sum->second.failure_.gateways_ += seen.failure_.gateways_;
                sum->second.at_ = std::max(sum->second.at_, seen.at_);
            }
        }
    }
    EndpointFailures failures;
    for (const auto &[key, sum] : sums) {
        failures.push_back(sum.failure_);
        failures.back().age_ = std::chrono::duration_cast<std::chrono::milliseconds>(now - sum.at_);
    }
    return failures;
}

} // namespace cowsliphead
