#pragma once

#include "core/time.h"
#include "decide/leasepolicy.h"

namespace cowsliphead
{

/// Tracks until when the holder of a lease may act, on the holder's own monotonic clock.
class LeaseTerm
{
public:
    /// Precondition: the policy's margin is shorter than its duration. Thread safety: as any value type.
    explicit LeaseTerm(const LeasePolicy &policy);

    /// The lease was taken by a request sent at askedAt. The term counts from then, whenever the answer arrives. Thread safety: owner
    /// task only.
    void taken(MonotonicTime askedAt);

    /// The lease was renewed by a request sent at askedAt. Precondition: isHeld(). Thread safety: owner task only.
    void renewed(MonotonicTime askedAt);

    /// Thread safety: owner task only.
    void lost();

    /// Thread safety: owner task only.
    bool isHeld() const;

    /// True if an action that begins now ends before any action of a successor begins. Thread safety: owner task only.
    bool mayAct(MonotonicTime now) const;

    /// True if the holder should renew the lease. Precondition: isHeld(). Thread safety: owner task only.
    bool isRenewalDue(MonotonicTime now) const;

    /// True once the lease must have expired in the store. Thread safety: owner task only.
    bool hasLapsed(MonotonicTime now) const;

private:
    LeasePolicy policy_;
    bool isHeld_ = false;
    MonotonicTime askedAt_;
};

} // namespace cowsliphead
