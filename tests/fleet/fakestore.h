#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "store/storerange.h"
#include "store/storereply.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

/// A store that records the calls, so that the test can answer them one by one. Models RangedStore.
class FakeStore
{
public:
    using Range = cowsliphead::StoreReply<cowsliphead::StoreRange>;
    using Watch = cowsliphead::StoreReply<cowsliphead::WatchAnswer>;

    void range(const std::string &prefix, const std::string & /*after*/, Range reply)
    {
        ranges_[prefix] = std::move(reply);
    }

    void watch(const std::string &prefix, const cowsliphead::StoreRevision &after, std::chrono::milliseconds wait, Watch reply)
    {
        watchWaits_[prefix] = wait;
        watchedAfter_[prefix] = after;
        watches_[prefix] = std::move(reply);
    }

    void compareAndSwap(const cowsliphead::StoreWrite &write, const cowsliphead::StoreReply<cowsliphead::StoreRevision> &reply)
    {
        writes_.push_back(write);
        writeReplies_.push_back(reply);
    }

    void read(const std::string & /*key*/, const cowsliphead::StoreReply<std::optional<cowsliphead::StoreEntry>> & /*reply*/)
    {
    }

    void list(const std::string & /*prefix*/,
              const std::string & /*after*/,
              std::size_t /*limit*/,
              const cowsliphead::StoreReply<std::vector<cowsliphead::StoreEntry>> & /*reply*/)
    {
    }

    void erase(const std::vector<std::string> & /*keys*/, const cowsliphead::StoreReply<cowsliphead::StoreRevision> & /*reply*/)
    {
    }

    void grantLease(std::chrono::milliseconds /*duration*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> &reply)
    {
        leaseReplies_.push_back(reply);
    }

    void renewLease(const cowsliphead::LeaseId & /*lease*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    void revokeLease(const cowsliphead::LeaseId & /*lease*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    cowsliphead::StoreEra era() const
    {
        return era_;
    }

    cowsliphead::StoreEra era_ = 0;

    /// The reply callback of the last call for each prefix.
    std::map<std::string, Range> ranges_;
    std::map<std::string, Watch> watches_;
    std::map<std::string, cowsliphead::StoreRevision> watchedAfter_;
    std::map<std::string, std::chrono::milliseconds> watchWaits_;

    /// All writes and lease grants, in order.
    std::vector<cowsliphead::StoreWrite> writes_;
    std::vector<cowsliphead::StoreReply<cowsliphead::StoreRevision>> writeReplies_;
    std::vector<cowsliphead::StoreReply<cowsliphead::LeaseId>> leaseReplies_;
};
