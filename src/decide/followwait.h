#pragma once

namespace cowsliphead
{

/// Nothing is to be asked yet.
struct FollowWait {
};

} // namespace cowsliphead
