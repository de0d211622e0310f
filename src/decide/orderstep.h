#pragma once

#include "decide/orderintent.h"

namespace cowsliphead
{

/// What a planner does next about a target.
enum class OrderStep {
    Nothing, ///< The target has what is wanted.
    Write, ///< A new intent is to be written before anything is sent.
    Send, ///< The intent stands and is to be sent, perhaps once more.
    StepDown, ///< A newer planner has written: this one has lost its authority.
};

} // namespace cowsliphead
