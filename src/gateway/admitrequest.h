#pragma once

#include <string>

#include "core/result.h"
#include "gateway/admittedrequest.h"

namespace cowsliphead
{

struct RequestMetadata;
struct Configuration;

/// Finds the route and the account of a request. isRecent: the configuration is recent enough to decide that a route or a key does not
/// exist. Errors: RouteUnknown, KeyMissing, KeyUnknown; RecordsTooOld in their place if the configuration is not recent. Thread safety: any
/// thread.
Result<AdmittedRequest> admitRequest(const Configuration &configuration, const RequestMetadata &metadata, const std::string &target, bool isRecent);

} // namespace cowsliphead
