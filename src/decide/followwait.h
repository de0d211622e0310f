#pragma once

namespace cowsliphead
{

/// No request is due yet.
struct FollowWait {
};

} // namespace cowsliphead
