#pragma once

#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/errorcode.h"
#include "decide/candidateschedule.h"
#include "decide/fencingnumber.h"
#include "decide/leaseterm.h"
#include "duty/leasestate.h"
#include "store/store.h"

namespace cowsliphead
{

/// Acquires a duty by a lease in the store, renews the lease, and tells whether the holder may act at the moment.
/// The holder is stored under the key NAME, which is bound to the lease; the fencing number is stored under the persistent key NAME/fencing.
/// Thread safety: all members, on the store's task only.
template <Store S, Clock C>
class LeaseHolder
{
public:
    /// holder identifies this run of the process and is never reused. Precondition: store and clock outlive this object, which outlives
    /// all replies of the store.
    LeaseHolder(S &store, const C &clock, const LeasePolicy &policy, std::string name, std::string holder)
        : store_(store)
        , clock_(clock)
        , policy_(policy)
        , name_(std::move(name))
        , holder_(std::move(holder))
        , term_(policy)
        , candidateSchedule_(policy.candidateInterval_, static_cast<std::uint32_t>(std::hash<std::string>()(holder_)))
    {
    }

    /// Takes the next step: acquires the lease, renews it, or ends the wait for the previous holder. To be called several times within
    /// the policy's margin.
    void tick()
    {
        const auto now = clock_.now();
        if (term_.isHeld() && term_.hasLapsed(now)) {
            dropLease();
        }
        if (state_ == LeaseState::Waiting && now >= holdsFrom_) {
            state_ = LeaseState::Holding;
        }
        if (isCallPending_) {
            return;
        }
        if (state_ == LeaseState::Idle && candidateSchedule_.isDue(now)) {
            checkAvailability();
        } else if (term_.isHeld() && term_.isRenewalDue(now)) {
            renew();
        }
    }

    /// To be called right before each action, because the process may have been paused since the last answer.
    bool mayAct() const
    {
        return state_ == LeaseState::Holding && term_.mayAct(clock_.now());
    }

    /// Sets the mean interval at which this process checks whether the duty is free. Precondition: interval is positive.
    void setCandidateInterval(std::chrono::milliseconds interval)
    {
        candidateSchedule_.setMean(interval);
    }

    /// Releases the duty, so that another process can acquire it at once. This process does not try again for one lease duration.
    void resign()
    {
        if (!lease_.isEmpty()) {
            releaseLease();
        }
        candidateSchedule_.pause(policy_.duration_, clock_.now());
    }

    /// Returns the fencing number of the last acquisition.
    FencingNumber fencingNumber() const
    {
        return fencing_;
    }

private:
    void dropLease()
    {
        if (state_ == LeaseState::Holding) {
            // The next holder may resign at once; the calls of this process must not surround its calls within a lease duration.
            candidateSchedule_.pause(policy_.duration_, clock_.now());
        }
        term_.lost();
        state_ = LeaseState::Idle;
        lease_ = {};
        // Replies to calls made for the lost lease must not affect the next one.
        ++acquisition_;
        isCallPending_ = false;
    }

    /// Returns a reply that calls the step unless the lease for which the call was made has been lost meanwhile.
    template <typename T, typename Step>
    StoreReply<T> ifSameAcquisition(Step step)
    {
        isCallPending_ = true;
        return [this, step = std::move(step), acquisition = acquisition_](Result<T> answer) {
            if (acquisition == acquisition_) {
                isCallPending_ = false;
                step(std::move(answer));
            }
        };
    }

    /// Reads the key before trying to acquire it, since in nearly all cases another process holds the duty.
    void checkAvailability()
    {
        candidateSchedule_.checked(clock_.now());
        store_.read(name_, ifSameAcquisition<std::optional<StoreEntry>>([this](const Result<std::optional<StoreEntry>> &answer) {
                        if (answer && !*answer) {
                            grant();
                        }
                    }));
    }

    void grant()
    {
        state_ = LeaseState::Acquiring;
        const auto askedAt = clock_.now();
        store_.grantLease(policy_.duration_, ifSameAcquisition<LeaseId>([this, askedAt](Result<LeaseId> answer) {
                              if (!answer) {
                                  dropLease();
                                  return;
                              }
                              lease_ = *answer;
                              term_.taken(askedAt);
                              writeKey();
                          }));
    }

    void writeKey()
    {
        StoreWrite write;
        write.key_ = name_;
        write.value_ = holder_;
        write.lease_ = lease_;
        store_.compareAndSwap(write, ifSameAcquisition<StoreRevision>([this](Result<StoreRevision> answer) {
                                  if (answer) {
                                      readFencing();
                                  } else {
                                      // Another process holds the duty, or the answer was lost and the key expires with its lease.
                                      releaseLease();
                                  }
                              }));
    }

    void releaseLease()
    {
        const auto lease = lease_;
        dropLease();
        store_.revokeLease(lease, [](const Result<LeaseId> &) {});
    }

    void readFencing()
    {
        store_.read(name_ + "/fencing", ifSameAcquisition<std::optional<StoreEntry>>([this](Result<std::optional<StoreEntry>> answer) {
                        if (!answer) {
                            releaseLease();
                            return;
                        }
                        incrementFencing(*answer);
                    }));
    }

    void incrementFencing(const std::optional<StoreEntry> &entry)
    {
        const auto next = (entry ? std::strtoull(entry->value_.c_str(), nullptr, 10) : 0) + 1;
        StoreWrite write;
        write.key_ = name_ + "/fencing";
        write.value_ = std::to_string(next);
        write.expectedRevision_ = entry ? entry->revision_ : 0;
        store_.compareAndSwap(write, ifSameAcquisition<StoreRevision>([this, next](Result<StoreRevision> answer) {
                                  if (!answer) {
                                      releaseLease();
                                      return;
                                  }
                                  fencing_ = next;
                                  holdsFrom_ = clock_.now() + policy_.successorWait_;
                                  state_ = LeaseState::Waiting;
                              }));
    }

    void renew()
    {
        const auto askedAt = clock_.now();
        store_.renewLease(lease_, ifSameAcquisition<LeaseId>([this, askedAt](const Result<LeaseId> &answer) {
                              if (answer) {
                                  term_.renewed(askedAt);
                              } else if (answer.error() == ErrorCode::StoreLeaseUnknown) {
                                  dropLease();
                              }
                          }));
    }

    S &store_;
    const C &clock_;
    LeasePolicy policy_;
    std::string name_;
    std::string holder_;
    LeaseTerm term_;
    CandidateSchedule candidateSchedule_;
    LeaseState state_ = LeaseState::Idle;
    LeaseId lease_;
    FencingNumber fencing_ = 0;
    MonotonicTime holdsFrom_;
    std::uint64_t acquisition_ = 0;
    bool isCallPending_ = false;
};

} // namespace cowsliphead
