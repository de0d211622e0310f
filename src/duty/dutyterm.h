#pragma once

#include <cstdint>

#include "decide/fencingnumber.h"
#include "store/keyrevision.h"

namespace cowsliphead
{

/// One acquisition of a duty by this process.
struct DutyTerm {
    FencingNumber fencing_ = 0;

    /// The key of the fencing number as this acquisition wrote it. A write that is guarded by it fails once another process has acquired the duty,
    /// and in a store that came back from a copy without this acquisition.
    KeyRevision fencingKey_;

    /// The same number as that of the term before if the store came back from a copy within it and no other process has acquired the duty since.
    std::uint64_t tenure_ = 0;
};

} // namespace cowsliphead
