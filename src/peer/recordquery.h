#pragma once

#include <cstdint>
#include <vector>

#include "core/revision.h"
#include "decide/member.h"
#include "records/recordkey.h"

namespace cowsliphead
{

/// Asks a peer for the changes after a revision. It changes nothing at the peer but what it knows of members, so that it may be
/// lost or come twice.
struct RecordQuery {
    /// Tells the answer to this question from a late one.
    std::uint64_t number_ = 0;
    Revision after_ = 0;
    /// The snapshot whose next part is asked for; 0 if none is under way.
    Revision snapshot_ = 0;
    /// The last record of the snapshot that has arrived.
    RecordKey lastSnapshotKey_;
    /// The asker itself comes first.
    std::vector<Member> members_;
    /// True to be told all members.
    bool wantsAllMembers_ = false;
};

} // namespace cowsliphead
