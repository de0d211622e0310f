#pragma once

#include "decide/orderintent.h"

namespace cowsliphead
{

/// What a planner does next for a target.
enum class OrderStep {
    Nothing, ///< The wanted order has been carried out.
    Write, ///< A new intent is to be written before anything is sent.
    Send, ///< The intent is written and is to be sent, possibly again.
    StepDown, ///< A newer planner has written an intent: this one no longer holds the duty.
};

} // namespace cowsliphead
