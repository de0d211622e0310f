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

/// What a daemon holds: the changes after the revision asked for, or a part of a snapshot if these are no longer at hand.
struct RecordAnswer {
    std::uint64_t number_ = 0;
    /// The revision of the answering daemon.
    Revision head_ = 0;
    /// How long ago the head was confirmed to be the newest; nothing if it never was.
    std::optional<std::chrono::milliseconds> age_;
    /// In the order of their revisions, without a gap; the last one may stand before the head.
    std::vector<Change> changes_;
    /// The revision of the snapshot that the records are a part of; 0 if there is none.
    Revision snapshot_ = 0;
    /// Texts of records, in the order of their keys.
    std::vector<std::string> records_;
    /// True if the part is the snapshot's last one.
    bool isLastPart_ = false;
    /// The answering daemon itself comes first.
    std::vector<Member> members_;
};

} // namespace cowsliphead
