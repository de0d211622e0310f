#pragma once

#include <cstdlib>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/errorcode.h"
#include "decide/fencingnumber.h"
#include "decide/leaseterm.h"
#include "duty/leasestate.h"
#include "store/store.h"

namespace cowsliphead
{

/// Takes a duty by a lease in the store, keeps it while it can, and says at any moment whether its holder may act.
/// The duty is the key NAME under the lease; the fencing number is the persistent key NAME/fencing.
template <Store S, Clock C>
class LeaseHolder
{
public:
    /// holder names this process for good. Precondition: store and clock outlive the holder, which outlives all answers of the
    /// store. Thread safety: the store's task only.
    LeaseHolder(S &store, const C &clock, const LeasePolicy &policy, std::string name, std::string holder)
        : store_(store)
        , clock_(clock)
        , policy_(policy)
        , name_(std::move(name))
        , holder_(std::move(holder))
        , term_(policy)
    {
    }

    /// Takes the next step: asks for the lease, renews it, or ends a wait. Call it several times a margin.
    /// Thread safety: the store's task only.
    void tick()
    {
        const auto now = clock_.now();
        if (term_.isHeld() && term_.hasLapsed(now)) {
            giveUp();
        }
        if (state_ == LeaseState::Waiting && now >= actsFrom_) {
            state_ = LeaseState::Holding;
        }
        if (isAsking_) {
            return;
        }
        if (state_ == LeaseState::Idle && now >= asksFrom_) {
            look();
        } else if (term_.isHeld() && term_.isRenewalDue(now)) {
            renew();
        }
    }

    /// Ask right before each action: a pause since the last answer counts. Thread safety: the store's task only.
    bool mayAct() const
    {
        return state_ == LeaseState::Holding && term_.mayAct(clock_.now());
    }

    /// How often this process looks whether the duty is free, on the mean; each pause differs, so that candidates that start
    /// together spread out. Thread safety: the store's task only.
    void setCandidateInterval(std::chrono::milliseconds interval)
    {
        policy_.candidateInterval_ = interval;
    }

    /// Gives the duty up, so that another process can take it at once. Thread safety: the store's task only.
    void resign()
    {
        if (!lease_.isEmpty()) {
            leave();
        }
        asksFrom_ = clock_.now() + policy_.duration_;
    }

    /// The last one that was taken. Thread safety: the store's task only.
    FencingNumber fencingNumber() const
    {
        return fencing_;
    }

private:
    void giveUp()
    {
        term_.lost();
        state_ = LeaseState::Idle;
        lease_ = {};
        // What was asked for the lease that is gone must not count for the next one.
        ++tenure_;
        isAsking_ = false;
    }

    /// Calls the step with an answer unless the lease that it was asked for is gone.
    template <typename T, typename Step>
    StoreReply<T> forThisTenure(Step step)
    {
        isAsking_ = true;
        return [this, step = std::move(step), tenure = tenure_](Result<T> answer) {
            if (tenure == tenure_) {
                isAsking_ = false;
                step(std::move(answer));
            }
        };
    }

    /// Reads before it writes, since nearly always another process holds the duty.
    void look()
    {
        asksFrom_ = clock_.now() + policy_.candidateInterval_ * spread_(random_) / WholeInterval;
        store_.read(name_, forThisTenure<std::optional<StoreEntry>>([this](const Result<std::optional<StoreEntry>> &answer) {
                        if (answer && !*answer) {
                            grant();
                        }
                    }));
    }

    void grant()
    {
        state_ = LeaseState::Asking;
        const auto askedAt = clock_.now();
        store_.grantLease(policy_.duration_, forThisTenure<LeaseId>([this, askedAt](Result<LeaseId> answer) {
                              if (!answer) {
                                  giveUp();
                                  return;
                              }
                              lease_ = *answer;
                              term_.taken(askedAt);
                              takeKey();
                          }));
    }

    void takeKey()
    {
        StoreWrite write;
        write.key_ = name_;
        write.value_ = holder_;
        write.lease_ = lease_;
        store_.compareAndSwap(write, forThisTenure<StoreRevision>([this](Result<StoreRevision> answer) {
                                  if (answer) {
                                      readFencing();
                                  } else {
                                      // Another process holds the duty, or the answer was lost and the key goes when its lease lapses.
                                      leave();
                                  }
                              }));
    }

    void leave()
    {
        const auto lease = lease_;
        giveUp();
        store_.revokeLease(lease, [](const Result<LeaseId> &) {});
    }

    void readFencing()
    {
        store_.read(name_ + "/fencing", forThisTenure<std::optional<StoreEntry>>([this](Result<std::optional<StoreEntry>> answer) {
                        if (!answer) {
                            leave();
                            return;
                        }
                        raiseFencing(*answer);
                    }));
    }

    void raiseFencing(const std::optional<StoreEntry> &entry)
    {
        const auto next = (entry ? std::strtoull(entry->value_.c_str(), nullptr, 10) : 0) + 1;
        StoreWrite write;
        write.key_ = name_ + "/fencing";
        write.value_ = std::to_string(next);
        write.expectedRevision_ = entry ? entry->revision_ : 0;
        store_.compareAndSwap(write, forThisTenure<StoreRevision>([this, next](Result<StoreRevision> answer) {
                                  if (!answer) {
                                      leave();
                                      return;
                                  }
                                  fencing_ = next;
                                  actsFrom_ = clock_.now() + policy_.successorWait_;
                                  state_ = LeaseState::Waiting;
                              }));
    }

    void renew()
    {
        const auto askedAt = clock_.now();
        store_.renewLease(lease_, forThisTenure<LeaseId>([this, askedAt](const Result<LeaseId> &answer) {
                              if (answer) {
                                  term_.renewed(askedAt);
                              } else if (answer.error() == ErrorCode::StoreLeaseUnknown) {
                                  giveUp();
                              }
                          }));
    }

    /// Pauses between looks are given in hundredths of the interval.
    static constexpr int WholeInterval = 100;

    S &store_;
    const C &clock_;
    LeasePolicy policy_;
    std::string name_;
    std::string holder_;
    LeaseTerm term_;
    std::minstd_rand random_{ static_cast<std::uint32_t>(std::hash<std::string>()(holder_)) };
    std::uniform_int_distribution<int> spread_{ WholeInterval / 2, WholeInterval * 3 / 2 };
    LeaseState state_ = LeaseState::Idle;
    LeaseId lease_;
    FencingNumber fencing_ = 0;
    MonotonicTime asksFrom_;
    MonotonicTime actsFrom_;
    std::uint64_t tenure_ = 0;
    bool isAsking_ = false;
};

} // namespace cowsliphead
