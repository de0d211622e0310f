#pragma once

namespace cowsliphead::storepaths
{

constexpr const char *Swap = "/v1/swap";
constexpr const char *Read = "/v1/read";
constexpr const char *List = "/v1/list";
constexpr const char *Watch = "/v1/watch";
constexpr const char *GrantLease = "/v1/lease/grant";
constexpr const char *RenewLease = "/v1/lease/renew";
constexpr const char *RevokeLease = "/v1/lease/revoke";

/// Control paths of the stand-in, for tests: set faults and return call counts.
constexpr const char *Fault = "/standin/fault";
constexpr const char *Counts = "/standin/counts";

} // namespace cowsliphead::storepaths
