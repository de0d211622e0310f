#pragma once

#include "relay/localload.h"
#include "task/address.h"

namespace cowsliphead
{

/// Asks the gateway task for its load.
struct LoadQuery {
    Address<LocalLoad> answerTo_;
};

} // namespace cowsliphead
