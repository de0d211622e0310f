#pragma once

#include <chrono>
#include <string>

#include "core/errorcode.h"
#include "core/servicename.h"

namespace cowsliphead
{

struct AdmissionFacts;
struct AdmittedRequest;

namespace admissionlog
{

/// Logs the refusal of a request with the terms of the estimate. Precondition: the route of admitted is set. Thread safety: any thread.
void refused(const std::string &request,
             const AdmittedRequest &admitted,
             const ServiceName &service,
             ErrorCode reason,
             const AdmissionFacts &facts,
             std::chrono::milliseconds retryAfter);

} // namespace admissionlog

} // namespace cowsliphead
