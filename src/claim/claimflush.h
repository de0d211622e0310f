#pragma once

namespace cowsliphead
{

/// Asks the claim task to write all pending claims and then to stop.
struct ClaimFlush {
};

} // namespace cowsliphead
