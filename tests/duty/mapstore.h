#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/errorcode.h"
#include "store/storerange.h"
#include "store/storereply.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

/// In-memory store that invokes each reply before the call returns. Models RangedStore.
class MapStore
{
public:
    void compareAndSwap(const cowsliphead::StoreWrite &write, const cowsliphead::StoreReply<cowsliphead::StoreRevision> &reply)
    {
        if (!isReachable_) {
            reply(cowsliphead::failure(cowsliphead::ErrorCode::StoreUnavailable));
            return;
        }
        auto &entry = entries_[write.key_];
        if (entry.revision_ != write.expectedRevision_) {
            reply(cowsliphead::failure(cowsliphead::ErrorCode::StoreConflict));
            return;
        }
        entry = cowsliphead::StoreEntry{ write.key_, write.value_, ++revision_, false };
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
        for (const auto &[key, entry] : entries_) {
            if (key.starts_with(prefix)) {
                range.entries_.push_back(entry);
            }
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
               cowsliphead::StoreRevision /*after*/,
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

    bool holds(const std::string &key) const
    {
        return entries_.contains(key);
    }

    bool isReachable_ = true;

private:
    std::map<std::string, cowsliphead::StoreEntry> entries_;
    cowsliphead::StoreRevision revision_ = 0;
};
