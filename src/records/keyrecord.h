#pragma once

#include "core/accountid.h"
#include "core/keydigest.h"

namespace cowsliphead
{

/// An API key and the client account that it authenticates. Only the key's digest is stored.
struct KeyRecord {
    KeyDigest digest_;
    AccountId account_;
};

} // namespace cowsliphead
