#pragma once

#include "core/accountid.h"
#include "core/keydigest.h"

namespace cowsliphead
{

/// A caller's key, known by its digest only, and the account that it stands for.
struct KeyRecord {
    KeyDigest digest_;
    AccountId account_;
};

} // namespace cowsliphead
