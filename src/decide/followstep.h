#pragma once

#include <variant>

#include "decide/followpeer.h"
#include "decide/followstore.h"
#include "decide/followwait.h"

namespace cowsliphead
{

/// What a daemon does next to fetch newer records.
using FollowStep = std::variant<FollowWait, FollowPeer, FollowStore>;

} // namespace cowsliphead
