#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "fleet/endpointlist.h"

/// What happened to the entries of a few endpoints in a store, and what readers of it know at its revisions.
class EndpointHistory
{
public:
    static constexpr cowsliphead::MonotonicTime KeepUntil{ std::chrono::hours(1) };

    /// Each number is one change, at the next revision.
    explicit EndpointHistory(const std::vector<std::uint8_t> &changes);

    std::uint64_t lastRevision() const;

    /// What a reader knows that has read up to the revision, and that may have been cut off from the store when entries were removed: it
    /// keeps some of them.
    cowsliphead::EndpointList listAt(std::uint64_t revision, std::minstd_rand &random) const;

    /// True if the endpoint's entry stands at the revision.
    bool stands(const cowsliphead::EndpointId &id, std::uint64_t revision) const;

    /// Revision at which the entry was last removed up to the given one; 0 if it never was.
    std::uint64_t removedAt(const cowsliphead::EndpointId &id, std::uint64_t revision) const;

private:
    struct Change {
        cowsliphead::EndpointEntry entry_;
        bool isRemoval_ = false;
    };

    /// By revision, the first one is 1.
    std::vector<Change> changes_;
};
