#include "gateway/admissionlog.h"

#include <algorithm>
#include <cstdint>

#include "decide/admission/admissionfacts.h"
#include "gateway/admittedrequest.h"
#include "logs/log.h"

namespace cowsliphead::admissionlog
{

namespace
{

std::uint64_t countOf(std::chrono::milliseconds duration)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, duration.count()));
}

} // namespace

void refused(const std::string &request,
             const AdmittedRequest &admitted,
             const ServiceName &service,
             ErrorCode reason,
             const AdmissionFacts &facts,
             std::chrono::milliseconds retryAfter)
{
    const auto expected = facts.expected_.value_or(FirstEventEstimate());
    logEvent(LogEvent::RequestNotAdmitted,
             { { "request", request },
               { "route", admitted.route_->name_ },
               { "account", admitted.account_ == nullptr ? std::string() : admitted.account_->id_.value() },
               { "service", service.value() },
               { "reason", errorName(reason) },
               { "isEstimated", facts.expected_ ? "yes" : "no" },
               { "expectedMs", countOf(expected.total()) },
               { "queueMs", countOf(expected.queue_) },
               { "readingMs", countOf(expected.reading_) },
               { "restMs", countOf(expected.rest_) },
               { "limitMs", countOf(facts.timeLimit()) },
               { "callerTimeLeftMs", countOf(facts.callerTimeLeft_) },
               { "retryAfterMs", countOf(retryAfter) } });
}

} // namespace cowsliphead::admissionlog
