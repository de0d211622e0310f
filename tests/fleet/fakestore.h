#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "store/storerange.h"
#include "store/storereply.h"
#include "store/storewrite.h"
#include "store/watchanswer.h"

/// A store whose answers the test gives one by one. Models RangedStore.
class FakeStore
{
public:
    using Range = cowsliphead::StoreReply<cowsliphead::StoreRange>;
    using Watch = cowsliphead::StoreReply<cowsliphead::WatchAnswer>;

    void range(const std::string &prefix, const std::string & /*after*/, Range reply)
    {
        rangePrefix_ = prefix;
        range_ = std::move(reply);
    }

    void watch(const std::string & /*prefix*/, cowsliphead::StoreRevision after, std::chrono::milliseconds /*wait*/, Watch reply)
    {
        watchedAfter_ = after;
        watch_ = std::move(reply);
    }

    void compareAndSwap(const cowsliphead::StoreWrite & /*write*/, const cowsliphead::StoreReply<cowsliphead::StoreRevision> & /*reply*/)
    {
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

    void grantLease(std::chrono::milliseconds /*duration*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    void renewLease(const cowsliphead::LeaseId & /*lease*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    void revokeLease(const cowsliphead::LeaseId & /*lease*/, const cowsliphead::StoreReply<cowsliphead::LeaseId> & /*reply*/)
    {
    }

    std::string rangePrefix_;
    Range range_;
    Watch watch_;
    cowsliphead::StoreRevision watchedAfter_ = 0;
};
