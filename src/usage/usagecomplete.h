#pragma once

namespace cowsliphead
{

/// No further request of this process will be counted: the last counts can be written.
struct UsageComplete {
};

} // namespace cowsliphead
