#pragma once

#include <variant>

#include "decide/fetchfrompeer.h"
#include "decide/fetchfromstore.h"
#include "decide/fetchwait.h"

namespace cowsliphead
{

/// Whom a daemon asks next for newer records.
using FetchStep = std::variant<FetchWait, FetchFromPeer, FetchFromStore>;

} // namespace cowsliphead
