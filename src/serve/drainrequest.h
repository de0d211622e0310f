#pragma once

namespace cowsliphead
{

/// Asks the serving task to take no new work, to finish what it has, and then to stop.
struct DrainRequest {
};

} // namespace cowsliphead
