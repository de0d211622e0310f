#pragma once

#include <variant>

#include "decide/fetchfrompeer.h"
#include "decide/fetchfromstore.h"
#include "decide/fetchwait.h"

namespace cowsliphead
{

/// What a daemon does next to fetch newer records.
using FetchStep = std::variant<FetchWait, FetchFromPeer, FetchFromStore>;

} // namespace cowsliphead
