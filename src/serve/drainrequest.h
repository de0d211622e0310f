#pragma once

namespace cowsliphead
{

/// Asks a task to accept no new work, to finish the work in progress, and then to stop.
struct DrainRequest {
};

} // namespace cowsliphead
