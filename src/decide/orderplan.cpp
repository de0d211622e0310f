#include "decide/orderplan.h"

#include <utility>

namespace cowsliphead
{

namespace
{

bool hasSameActionAndSubject(const Order &left, const Order &right)
{
    return left.action_ == right.action_ && left.subject_ == right.subject_;
}

} // namespace

OrderStep nextOrderStep(const std::optional<OrderIntent> &current, const Order &wanted)
{
    if (!current) {
        return OrderStep::Write;
    }
    if (current->order_.fencing_ > wanted.fencing_) {
        return OrderStep::StepDown;
    }
    const bool isWanted = hasSameActionAndSubject(current->order_, wanted);
    if (current->isDone_) {
        return isWanted ? OrderStep::Nothing : OrderStep::Write;
    }
    return isWanted && current->order_.fencing_ == wanted.fencing_ ? OrderStep::Send : OrderStep::Write;
}

OrderIntent nextIntent(const std::optional<OrderIntent> &current, Order wanted)
{
    wanted.sequence_ = current ? current->order_.sequence_ + 1 : 1;
    return { std::move(wanted), false };
}

} // namespace cowsliphead
