#pragma once

#include "core/time.h"
#include "store/storerevision.h"

namespace cowsliphead
{

/// Reports that the configuration of a revision was still the newest one at some time after askedAt_.
struct ConfigurationConfirmed {
    MonotonicTime askedAt_;
    StoreRevision revision_;
};

} // namespace cowsliphead
