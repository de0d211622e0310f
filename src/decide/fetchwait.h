#pragma once

namespace cowsliphead
{

/// Nothing is to be asked yet.
struct FetchWait {
};

} // namespace cowsliphead
