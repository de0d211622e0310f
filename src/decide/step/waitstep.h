#pragma once

namespace cowsliphead
{

/// Nothing is to be done until the next event.
struct WaitStep {
};

} // namespace cowsliphead
