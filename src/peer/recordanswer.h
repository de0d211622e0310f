#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/revision.h"
#include "decide/member.h"
#include "records/change.h"

namespace cowsliphead
{

/// A daemon's answer to a RecordQuery: the changes after the requested revision, or a part of a snapshot if the daemon no longer
/// keeps these changes.
struct RecordAnswer {
    /// The number of the query.
    std::uint64_t number_ = 0;
    /// The newest revision that the answering daemon holds.
    Revision head_ = 0;
    /// The time since the head was confirmed to be the newest revision; empty if it never was.
    std::optional<std::chrono::milliseconds> age_;
    /// In order of revision, without gaps; the last one may be older than the head.
    std::vector<Change> changes_;
    /// The revision of the snapshot that records_ belong to; 0 if the answer carries no snapshot.
    Revision snapshot_ = 0;
    /// The texts of the records in this part, in order of their keys.
    std::vector<std::string> records_;
    /// True if this is the last part of the snapshot.
    bool isLastPart_ = false;
    /// The answering daemon itself is the first.
    std::vector<Member> members_;
};

} // namespace cowsliphead
