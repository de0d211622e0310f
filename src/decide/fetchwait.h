#pragma once

namespace cowsliphead
{

/// No request is due yet.
struct FetchWait {
};

} // namespace cowsliphead
