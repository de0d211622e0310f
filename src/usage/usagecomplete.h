#pragma once

namespace cowsliphead
{

/// Reports that no further request of this process will be counted, so the final counts can be written.
struct UsageComplete {
};

} // namespace cowsliphead
