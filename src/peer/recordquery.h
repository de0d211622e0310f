#pragma once

#include <cstdint>
#include <vector>

#include "core/revision.h"
#include "decide/member.h"
#include "records/recordkey.h"

namespace cowsliphead
{

/// Asks a peer for the changes after a revision. The only effect on the peer is that it learns of the members, so a query may be
/// lost or delivered twice.
struct RecordQuery {
    /// Distinguishes the answer to this query from a late answer to an earlier one; 0 for an
    /// exchange of members, which is answered without a snapshot.
    std::uint64_t number_ = 0;
    /// The newest revision that the querying daemon holds.
    Revision after_ = 0;
    /// The revision of the snapshot whose next part is requested; 0 if none is being transferred.
    Revision snapshot_ = 0;
    /// The key of the last record received of that snapshot.
    RecordKey lastSnapshotKey_;
    /// The querying daemon itself is the first.
    std::vector<Member> members_;
    /// True to request all members in the answer.
    bool wantsAllMembers_ = false;
};

} // namespace cowsliphead
