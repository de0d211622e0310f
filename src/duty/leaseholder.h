#pragma once

#include <algorithm>
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
#include "duty/dutyterm.h"
#include "duty/leasestate.h"
#include "logs/log.h"
#include "store/store.h"

namespace cowsliphead
{

/// Acquires a duty by a lease in the store, renews the lease, and tells whether the holder may act at the moment.
/// The holder is stored under the key NAME, which is bound to the lease; the fencing number is stored under the persistent key NAME/fencing.
///
/// A store that came back from a copy may have lost the lease, or may have given its number to another process. The holder yields as soon as an
/// answer tells a new era, and the first holder of an era waits until any holder of an earlier one has stopped acting.
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
        } else if (term_.isHeld() && !isOfSameEra(store_.era())) {
            eraChanged();
        }
        if (state_ == LeaseState::Waiting && now >= holdsFrom_) {
            state_ = LeaseState::Holding;
            unwaitedEra_ = 0;
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
        return state_ == LeaseState::Holding && term_.mayAct(clock_.now()) && isOfSameEra(store_.era());
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
            release();
        }
        candidateSchedule_.pause(policy_.duration_, clock_.now());
    }

    /// Returns the fencing number of the last acquisition.
    FencingNumber fencingNumber() const
    {
        return duty_.fencing_;
    }

    /// Returns the last acquisition, whose term may have ended.
    const DutyTerm &duty() const
    {
        return duty_;
    }

private:
    void dropLease()
    {
        if (state_ == LeaseState::Holding) {
            // The next holder may resign at once; the calls of this process must not surround its calls within a lease duration.
            candidateSchedule_.pause(policy_.duration_, clock_.now());
        }
        endTerm();
    }

    void endTerm()
    {
        term_.lost();
        state_ = LeaseState::Idle;
        lease_ = {};
        keyRevision_ = {};
        // Replies to calls made for the lost lease must not affect the next one.
        ++acquisition_;
        isCallPending_ = false;
    }

    /// The store came back from a copy within the term. The calls of this process need not pause: the first holder of the new era, whoever it is, acts
    /// only once the time of this term is over.
    void eraChanged()
    {
        const auto now = clock_.now();
        const bool hadDuty = state_ == LeaseState::Waiting || state_ == LeaseState::Holding;
        if (hadDuty && !term_.hasLapsed(now)) {
            heldUntilEra_ = store_.era();
        }
        candidateSchedule_.pause(std::chrono::milliseconds(0), now);
        endTerm();
    }

    /// False if this process may have written the era's first fencing number and has not waited since for holders of earlier eras.
    bool hasWaitedIn(StoreEra era) const
    {
        return era == 0 || unwaitedEra_ != era;
    }

    /// True if the answer to a step of the acquisition is of the era in which the lease was granted.
    bool isOfSameEra(StoreEra era) const
    {
        return era == eraOf(lease_);
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
                        } else if (answer && (*answer)->value_ == holder_ && hasWaitedIn((*answer)->revision_.era_)) {
                            // Left over from a term that ended with an era.
                            reclaim((*answer)->revision_);
                        }
                    }));
    }

    void reclaim(const StoreRevision &revision)
    {
        store_.compareAndSwap(eraseOf(revision), ifSameAcquisition<StoreRevision>([this](const Result<StoreRevision> &answer) {
                                  if (answer) {
                                      grant();
                                  }
                              }));
    }

    StoreWrite eraseOf(const StoreRevision &revision) const
    {
        StoreWrite erase;
        erase.key_ = name_;
        erase.expectedRevision_ = revision;
        erase.isErase_ = true;
        return erase;
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
        store_.compareAndSwap(write, ifSameAcquisition<StoreRevision>([this](const Result<StoreRevision> &answer) {
                                  if (answer) {
                                      keyRevision_ = *answer;
                                      readFencing();
                                  } else {
                                      // Another process holds the duty, or the answer was lost and the key expires with its lease.
                                      release();
                                  }
                              }));
    }

    /// Erases the key, if it is still the one that this acquisition wrote. The lease is left to expire: its number may by now be that of another
    /// process's lease. So is the key if this process has not waited as the first holder of the era, since the next one will not.
    void release()
    {
        const auto revision = keyRevision_;
        const bool hasWaited = hasWaitedIn(revision.era_);
        dropLease();
        if (!revision.isNone() && hasWaited) {
            store_.compareAndSwap(eraseOf(revision), [](const Result<StoreRevision> &) {});
        }
    }

    void readFencing()
    {
        store_.read(fencingKey(), ifSameAcquisition<std::optional<StoreEntry>>([this](const Result<std::optional<StoreEntry>> &answer) {
                        if (answer && isOfSameEra(store_.era())) {
                            incrementFencing(*answer);
                        } else {
                            release();
                        }
                    }));
    }

    std::string fencingKey() const
    {
        return name_ + "/fencing";
    }

    void incrementFencing(const std::optional<StoreEntry> &entry)
    {
        const FencingNumber last = entry ? std::strtoull(entry->value_.c_str(), nullptr, 10) : 0;
        const auto base = fencingBaseOf(eraOf(lease_));
        const bool isFirstOfEra = last < base;
        unwaitedEra_ = isFirstOfEra ? eraOf(lease_) : unwaitedEra_;
        const auto next = std::max(last, base) + 1;
        StoreWrite write;
        write.key_ = fencingKey();
        write.value_ = std::to_string(next);
        write.expectedRevision_ = entry ? entry->revision_ : StoreRevision();
        store_.compareAndSwap(write, ifSameAcquisition<StoreRevision>([this, next, isFirstOfEra](const Result<StoreRevision> &answer) {
                                  if (!answer || !isOfSameEra(answer->era_)) {
                                      release();
                                      return;
                                  }
                                  const bool isContinued = isFirstOfEra && heldUntilEra_ != 0 && heldUntilEra_ == answer->era_;
                                  duty_ = { next, { fencingKey(), *answer }, isContinued ? duty_.tenure_ : duty_.tenure_ + 1 };
                                  heldUntilEra_ = 0;
                                  // The lease of the holder before has ended in this era. One of an earlier era may go on for as long as a lease.
                                  holdsFrom_ = clock_.now() + (hasWaitedIn(answer->era_) ? policy_.successorWait_ : policy_.duration_);
                                  state_ = LeaseState::Waiting;
                                  if (isContinued) {
                                      logEvent(LogEvent::DutyTermContinued, { { "fence", next }, { "era", answer->era_ } });
                                  }
                              }));
    }

    void renew()
    {
        const auto askedAt = clock_.now();
        store_.renewLease(lease_, ifSameAcquisition<LeaseId>([this, askedAt](const Result<LeaseId> &answer) {
                              if (!isOfSameEra(store_.era())) {
                                  eraChanged();
                              } else if (answer) {
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

    /// The key that names this process as the holder, as written for the lease; none if it was not.
    StoreRevision keyRevision_;
    DutyTerm duty_;

    /// The era that began within the last term of this process; 0 for none.
    StoreEra heldUntilEra_ = 0;

    /// The era whose first fencing number this process wrote, or may have written, until it has waited for holders of earlier eras; 0 for none.
    StoreEra unwaitedEra_ = 0;
    MonotonicTime holdsFrom_;
    std::uint64_t acquisition_ = 0;
    bool isCallPending_ = false;
};

} // namespace cowsliphead
