#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "store/storerange.h"
#include "store/storereply.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

/// In-memory store that invokes each reply before the call returns, and that can come back from a copy. Models RangedStore.
class MapStore
{
public:
    void compareAndSwap(const cowsliphead::StoreWrite &write, const cowsliphead::StoreReply<cowsliphead::StoreRevision> &reply)
    {
        if (!isReachable_) {
            reply(cowsliphead::failure(cowsliphead::ErrorCode::StoreUnavailable));
            return;
        }
        const bool isMet = revisionOf(write.key_) == write.expectedRevision_
            && std::all_of(write.guards_.begin(), write.guards_.end(), [this](const auto &guard) { return revisionOf(guard.key_) == guard.revision_; });
        if (!isMet) {
            reply(cowsliphead::failure(cowsliphead::ErrorCode::StoreConflict));
            return;
        }
        entries_[write.key_] = cowsliphead::StoreEntry{ write.key_, write.value_, ++revision_, false };
        reply(revision_);
    }

    void read(const std::string &key, const cowsliphead::StoreReply<std::optional<cowsliphead::StoreEntry>> &reply)
    {
        if (!isReachable_) {
            reply(cowsliphead::failure(cowsliphead::ErrorCode::StoreUnavailable));
            return;
        }
        const auto found = entries_.find(key);
        reply(found == entries_.end() ? std::nullopt : std::optional<cowsliphead::StoreEntry>(found->second));
    }

    void range(const std::string &prefix, const std::string & /*after*/, const cowsliphead::StoreReply<cowsliphead::StoreRange> &reply)
    {
        cowsliphead::StoreRange range;
        range.revision_ = revision_;
        for (const auto &[key, entry] : entries_) {
            if (key.starts_with(prefix)) {
                range.entries_.push_back(entry);
            }
        }
        if (const auto beforeAnswer = std::exchange(beforeNextAnswer_, nullptr)) {
            beforeAnswer();
        }
        reply(range);
    }

    void erase(const std::vector<std::string> &keys, const cowsliphead::StoreReply<cowsliphead::StoreRevision> &reply)
    {
        for (const auto &key : keys) {
            entries_.erase(key);
        }
        reply(++revision_);
    }

    void list(const std::string & /*prefix*/,
              const std::string & /*after*/,
              std::size_t /*limit*/,
              const cowsliphead::StoreReply<std::vector<cowsliphead::StoreEntry>> & /*reply*/)
    {
    }

    void watch(const std::string & /*prefix*/,
               const cowsliphead::StoreRevision & /*after*/,
               std::chrono::milliseconds /*wait*/,
               const cowsliphead::StoreReply<cowsliphead::WatchAnswer> & /*reply*/)
    {
    }

    void grantLease(std::chrono::milliseconds /*duration*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    void renewLease(const cowsliphead::LeaseId & /*lease*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    void revokeLease(const cowsliphead::LeaseId & /*lease*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    cowsliphead::StoreEra era() const
    {
        return revision_.era_;
    }

    bool holds(const std::string &key) const
    {
        return entries_.contains(key);
    }

    cowsliphead::StoreRevision revisionOf(const std::string &key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? cowsliphead::StoreRevision() : found->second.revision_;
    }

    /// Loses what was written since the copy was made, and gives out its revisions again, in the next era.
    void restore(const MapStore &copy)
    {
        const auto era = revision_.era_ + 1;
        *this = copy;
        revision_.era_ = era;
        for (auto &[key, entry] : entries_) {
            entry.revision_.era_ = era;
        }
    }

    bool isReachable_ = true;

    /// Called once, after the next range was read and before it is answered.
    std::function<void()> beforeNextAnswer_;

private:
    std::map<std::string, cowsliphead::StoreEntry> entries_;
    cowsliphead::StoreRevision revision_;
};
