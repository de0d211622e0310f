#pragma once

#include <variant>

#include "decide/followpeer.h"
#include "decide/followstore.h"
#include "decide/followwait.h"

namespace cowsliphead
{

/// Whom a daemon asks next for newer records.
using FollowStep = std::variant<FollowWait, FollowPeer, FollowStore>;

} // namespace cowsliphead
