#include "relay/observationboard.h"

namespace cowsliphead
{

namespace
{

void append(EndpointObservations &total, EndpointKey endpoint, const ObservationWeight &weight)
{
    const auto observation = weight.rounded(endpoint);
    if (observation.tokensRead_ > 0 && observation.readingTime_.count() > 0) {
        total.push_back(observation);
    }
}

} // namespace

void ObservationBoard::report(const LoadReporter &reporter, const EndpointObservations &observations, MonotonicTime now)
{
    renew(now);
    const auto growth = 1 / ObservationWeight::decayAfter(now - renewedAt_);
    for (const auto &observation : observations) {
        auto &endpoint = endpoints_[observation.endpoint_];
        auto &report = endpoint.reports_[reporter];
        const auto weight = ObservationWeight::of(observation) * growth;
        endpoint.fleet_ -= report.weight_;
        endpoint.fleet_ += weight;
        if (reporter.isMember()) {
            endpoint.domain_ -= report.weight_;
            endpoint.domain_ += weight;
        }
        report = { weight, now };
    }
}

EndpointObservations ObservationBoard::domainTotal(MonotonicTime now)
{
    renew(now);
    const auto decay = ObservationWeight::decayAfter(now - renewedAt_);
    EndpointObservations total;
    for (const auto &[key, endpoint] : endpoints_) {
        append(total, key, endpoint.domain_ * decay);
    }
    return total;
}

EndpointObservations ObservationBoard::fleetWithout(const InstanceId &gateway, MonotonicTime now)
{
    renew(now);
    const LoadReporter excluded{ {}, gateway };
    const auto decay = ObservationWeight::decayAfter(now - renewedAt_);
    EndpointObservations total;
    for (const auto &[key, endpoint] : endpoints_) {
        auto weight = endpoint.fleet_;
        if (const auto own = endpoint.reports_.find(excluded); own != endpoint.reports_.end()) {
            weight -= own->second.weight_;
        }
        append(total, key, weight * decay);
    }
    return total;
}

void ObservationBoard::renew(MonotonicTime now)
{
    if (endpoints_.empty()) {
        renewedAt_ = now;
        return;
    }
    if (now - renewedAt_ < RenewInterval) {
        return;
    }
    const auto decay = ObservationWeight::decayAfter(now - renewedAt_);
    renewedAt_ = now;
    for (auto &[key, endpoint] : endpoints_) {
        renewEndpoint(endpoint, decay, now);
    }
    std::erase_if(endpoints_, [](const auto &item) { return item.second.reports_.empty(); });
}

void ObservationBoard::renewEndpoint(Endpoint &endpoint, double decay, MonotonicTime now)
{
    std::erase_if(endpoint.reports_, [now](const auto &item) { return now - item.second.at_ >= ObservationWeight::Lifetime; });
    endpoint.domain_ = {};
    endpoint.fleet_ = {};
    for (auto &[reporter, report] : endpoint.reports_) {
        report.weight_ = report.weight_ * decay;
        endpoint.fleet_ += report.weight_;
        if (reporter.isMember()) {
            endpoint.domain_ += report.weight_;
        }
    }
}

} // namespace cowsliphead
