#pragma once

#include <variant>

#include "decide/step/claimstep.h"
#include "decide/step/completestep.h"
#include "decide/step/dispatchstep.h"
#include "decide/step/failstep.h"
#include "decide/step/waitstep.h"

namespace cowsliphead
{

/// The next action for a request.
using RequestStep = std::variant<WaitStep, ClaimStep, DispatchStep, CompleteStep, FailStep>;

} // namespace cowsliphead
