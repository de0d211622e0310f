#include "decide/leaseterm.h"

#include <algorithm>

namespace cowsliphead
{

LeaseTerm::LeaseTerm(const LeasePolicy &policy)
    : policy_(policy)
{
}

void LeaseTerm::taken(MonotonicTime askedAt)
{
    isHeld_ = true;
    askedAt_ = askedAt;
}

void LeaseTerm::renewed(MonotonicTime askedAt)
{
    askedAt_ = std::max(askedAt_, askedAt);
}

void LeaseTerm::lost()
{
    isHeld_ = false;
}

bool LeaseTerm::isHeld() const
{
    return isHeld_;
}

bool LeaseTerm::mayAct(MonotonicTime now) const
{
    return isHeld_ && now < askedAt_ + policy_.duration_ - policy_.margin_;
}

bool LeaseTerm::isRenewalDue(MonotonicTime now) const
{
    return now >= askedAt_ + policy_.renewInterval_;
}

bool LeaseTerm::hasLapsed(MonotonicTime now) const
{
    return now >= askedAt_ + policy_.duration_;
}

} // namespace cowsliphead
