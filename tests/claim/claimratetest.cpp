#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>

#include "claim/claimcodec.h"
#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "decide/claimshard.h"
#include "store/memorystore.h"

using namespace cowsliphead;

namespace
{

constexpr std::size_t Shards = 64;
constexpr std::chrono::milliseconds Step{ 1 };

/// One way of a call to the store and its answer together take twice this.
constexpr std::chrono::milliseconds OneWay{ 2 };
constexpr std::chrono::seconds RunTime{ 5 };

struct Rates {
    double writesPerSecond_ = 0;
    double readsPerSecond_ = 0;
    std::chrono::milliseconds median_{ 0 };
    std::chrono::milliseconds slowest_{ 0 };
    std::size_t granted_ = 0;
    std::size_t longestValue_ = 0;
};

/// Batchers with keyed requests at an even rate against one store in virtual time; each request also ends as run.
class RateTrial
{
public:
    RateTrial(std::size_t batchers, double claimsPerSecond)
        : claimsPerSecond_(claimsPerSecond)
        , shards_(batchers * Shards, ShardCall{ ClaimShard<>(ClaimLimits()), {}, {}, {}, {} })
    {
    }

    Rates measure()
    {
        const auto start = clock_.now();
        double due = 0;
        while (clock_.now() < start + RunTime) {
            for (due += claimsPerSecond_ * std::chrono::duration<double>(Step).count(); due >= 1; due -= 1) {
                ask();
            }
            for (std::size_t i = 0; i < shards_.size(); ++i) {
                drive(i);
            }
            clock_.advance(Step);
        }
        std::sort(waits_.begin(), waits_.end());
        return { perSecond(writes_), perSecond(reads_), waits_.at(waits_.size() / 2), waits_.back(), waits_.size(), longestValue_ };
    }

private:
    struct ShardCall {
        ClaimShard<> shard_;
        ClaimAction action_ = ClaimAction::Nothing;
        MonotonicTime reaches_;
        Result<StoreRevision> written_ = 0;
        std::optional<StoreEntry> read_;
        bool isApplied_ = false;
    };

    static double perSecond(std::size_t count)
    {
        return double(count) / double(RunTime.count());
    }

    void ask()
    {
        const auto key = claimKey(AccountId("account"), std::to_string(++sequence_));
        auto &shard = shards_[random_() % shards_.size()].shard_;
        shard.ask({ key, requestFingerprint("POST", "/", ""), { "instance-0123456789abcdef", sequence_ }, clock_.wallNow(), clock_.now() });
        askedAt_[key] = clock_.now();
    }

    void drive(std::size_t index)
    {
        auto &call = shards_[index];
        if (call.action_ != ClaimAction::Nothing) {
            travel(call, "claims/" + std::to_string(index % Shards));
        }
        if (call.action_ == ClaimAction::Nothing) {
            call.action_ = call.shard_.next(clock_.now(), clock_.wallNow());
            call.reaches_ = clock_.now() + OneWay;
            call.isApplied_ = false;
            writes_ += call.action_ == ClaimAction::Write ? 1 : 0;
            reads_ += call.action_ == ClaimAction::Read ? 1 : 0;
        }
        for (const auto &verdict : call.shard_.takeVerdicts()) {
            waits_.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - askedAt_[verdict.key_]));
            call.shard_.end({ verdict.key_, verdict.owner_, true, clock_.wallNow(), MonotonicTime::max(), std::nullopt }, clock_.now());
        }
    }

    void travel(ShardCall &call, const std::string &key)
    {
        if (!call.isApplied_ && clock_.now() >= call.reaches_) {
            call.isApplied_ = true;
            if (call.action_ == ClaimAction::Read) {
                call.read_ = store_.read(key, clock_.now());
            } else {
                const StoreWrite write{ key, encodeClaims(call.shard_.proposal()), call.shard_.expectedRevision(), {}, false };
                longestValue_ = std::max(longestValue_, write.value_.size());
                call.written_ = store_.compareAndSwap(write, clock_.now());
            }
        }
        if (clock_.now() < call.reaches_ + OneWay) {
            return;
        }
        if (call.action_ == ClaimAction::Read) {
            call.shard_.readAnswered(call.read_ ? call.read_->revision_ : 0, call.read_ ? *decodeClaims(call.read_->value_) : ClaimTable());
        } else if (call.written_) {
            call.shard_.written(*call.written_);
        } else {
            call.shard_.conflicted();
        }
        call.action_ = ClaimAction::Nothing;
    }

    double claimsPerSecond_;
    VirtualClock clock_;
    MemoryStore store_;
    std::vector<ShardCall> shards_;
    std::mt19937 random_{ 1 };
    std::map<ClaimKey, MonotonicTime> askedAt_;
    std::vector<std::chrono::milliseconds> waits_;
    std::uint64_t sequence_ = 0;
    std::size_t writes_ = 0;
    std::size_t reads_ = 0;
    std::size_t longestValue_ = 0;
};

void report(std::size_t batchers, double rate, const Rates &rates)
{
    BOOST_TEST_MESSAGE(batchers << " batchers, " << rate << " claims/s: " << rates.writesPerSecond_ << " writes/s, " << rates.readsPerSecond_
                                << " reads/s, median " << rates.median_.count() << " ms, slowest " << rates.slowest_.count() << " ms, longest value "
                                << rates.longestValue_ << " B");
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_rate_of_store_calls)

BOOST_AUTO_TEST_SUITE(in_virtual_time)

BOOST_AUTO_TEST_CASE(of_one_batcher_has_a_bound_whatever_the_rate_of_claims)
{
    // One more batch fits into the run than intervals do.
    const auto batches = double(RunTime / ClaimLimits().batchInterval_ + 1);
    const auto bound = double(Shards) * batches / double(RunTime.count());
    for (const double rate : { 33.0, 330.0, 1000.0 }) {
        const auto rates = RateTrial(1, rate).measure();
        report(1, rate, rates);
        BOOST_TEST(rates.writesPerSecond_ <= bound);
        BOOST_TEST(rates.slowest_ <= ClaimLimits().claimTimeout_);
    }
}

BOOST_AUTO_TEST_CASE(of_seven_batchers_grows_by_their_conflicts)
{
    constexpr std::size_t Domains = 7;
    for (const double rate : { 33.0, 330.0 }) {
        const auto rates = RateTrial(Domains, rate).measure();
        report(Domains, rate, rates);
        BOOST_TEST(rates.granted_ > 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
