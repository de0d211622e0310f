#pragma once

namespace cowsliphead
{

/// Wait for the next event.
struct WaitStep {
};

} // namespace cowsliphead
