#pragma once

#include "core/time.h"
#include "decide/leasepolicy.h"

namespace cowsliphead
{

/// Until when the holder of a lease may act, on the holder's own monotonic clock.
class LeaseTerm
{
public:
    /// Precondition: the policy's margin is shorter than its duration. Thread safety: as any value type.
    explicit LeaseTerm(const LeasePolicy &policy);

    /// The lease was taken by a question sent at that time, whatever the time of the answer. Thread safety: owner task only.
    void taken(MonotonicTime askedAt);

    /// The lease was renewed by a question sent at that time. Precondition: isHeld(). Thread safety: owner task only.
    void renewed(MonotonicTime askedAt);

    /// Thread safety: owner task only.
    void lost();

    /// Thread safety: owner task only.
    bool isHeld() const;

    /// True if an action that begins now ends before any successor's begins. Thread safety: owner task only.
    bool mayAct(MonotonicTime now) const;

    /// True if the holder should ask for more time. Precondition: isHeld(). Thread safety: owner task only.
    bool isRenewalDue(MonotonicTime now) const;

    /// True once the lease can no longer be valid at the store. Thread safety: owner task only.
    bool hasLapsed(MonotonicTime now) const;

private:
    LeasePolicy policy_;
    bool isHeld_ = false;
    MonotonicTime askedAt_;
};

} // namespace cowsliphead
