#pragma once

namespace cowsliphead::platformpaths
{

constexpr const char *Usage = "/v1/usage";
constexpr const char *OrderEndpoint = "/v1/endpoints/order";
constexpr const char *ReleaseEndpoint = "/v1/endpoints/release";
constexpr const char *Instances = "/v1/instances";

/// Control paths of the stand-in, for tests: set faults and instances, and return the requests that it received.
constexpr const char *Fault = "/standin/fault";
constexpr const char *SetInstances = "/standin/instances";
constexpr const char *Submissions = "/standin/submissions";
constexpr const char *Counts = "/standin/counts";

} // namespace cowsliphead::platformpaths
