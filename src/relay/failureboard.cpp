#include "relay/failureboard.h"

#include <algorithm>
#include <utility>

namespace cowsliphead
{

void FailureBoard::report(const LoadReporter &reporter, const EndpointFailures &failures, MonotonicTime now)
{
    std::erase_if(reports_, [now](const auto &item) {
        return std::all_of(item.second.begin(), item.second.end(), [now](const Seen &seen) { return now - seen.at_ >= Lifetime; });
    });
    if (failures.empty()) {
        reports_.erase(reporter);
        return;
    }
    auto &report = reports_[reporter];
    report.clear();
    for (const auto &failure : failures) {
        report.push_back({ failure, now - failure.age_ });
        if (reporter.isMember()) {
            report.back().failure_.gateways_ = 1;
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
    std::map<std::pair<IncarnationKey, EndpointFailureKind>, Seen> sums;
    for (const auto &[reporter, report] : reports_) {
        if (!isCounted(reporter)) {
            continue;
        }
        for (const auto &seen : report) {
            if (now - seen.at_ >= Lifetime) {
                continue;
            }
            const auto [sum, isNew] = sums.try_emplace({ seen.failure_.endpoint_, seen.failure_.kind_ }, seen);
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
