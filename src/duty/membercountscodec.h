#pragma once

#include <map>
#include <string>

#include "core/result.h"
#include "usage/membercounts.h"

namespace cowsliphead::membercountscodec
{

/// The counts of several gateways for one window.
using CountsByGateway = std::map<InstanceId, MemberCounts>;

/// Thread safety: any thread.
std::string toText(const CountsByGateway &counts);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<CountsByGateway> fromText(UsageWindow window, const std::string &text);

/// Adds the counts of the others; of two of the same gateway, the one with the higher version stays. Thread safety: any thread.
void merge(CountsByGateway &counts, const CountsByGateway &others);

} // namespace cowsliphead::membercountscodec
