#pragma once

namespace cowsliphead
{

/// Asks the claim task to write down what it has, and then to stop.
struct ClaimFlush {
};

} // namespace cowsliphead
