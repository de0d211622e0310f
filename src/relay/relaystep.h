#pragma once

#include "store/storerevision.h"

namespace cowsliphead
{

/// A call to the store that RelaySelection asks for.
struct RelayStep {
    enum class Kind {
        None,
        ReadEntries, ///< Read the relay entries of all failure domains.
        WriteEntry, ///< Write this gateway into the entry of its failure domain.
    };

    Kind kind_ = Kind::None;

    /// For WriteEntry: the revision that the entry must have; none if it must not exist.
    StoreRevision expectedRevision_;
};

} // namespace cowsliphead
