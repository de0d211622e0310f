#pragma once

#include <string>

#include "core/result.h"
#include "gateway/admittedrequest.h"

namespace cowsliphead
{

struct CallerFacts;
struct Configuration;

/// Looks up route and account. isRecent: the configuration is young enough to say that something does not exist.
/// Errors: RouteUnknown, KeyMissing, KeyUnknown; RecordsTooOld in their place if the configuration is not recent. Thread safety: any thread.
Result<AdmittedRequest> admitRequest(const Configuration &configuration, const CallerFacts &facts, const std::string &target, bool isRecent);

} // namespace cowsliphead
