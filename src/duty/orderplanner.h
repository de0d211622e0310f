#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/clock.h"
#include "core/errorcode.h"
#include "decide/orderplan.h"
#include "duty/leaseholder.h"
#include "duty/ordercodec.h"
#include "duty/ordersender.h"
#include "store/store.h"

namespace cowsliphead
{

/// Sends the desired orders to the targets of one failure domain while it holds the duty. Each order is written to the store as an
/// intent before it is sent. One order is under way at a time.
/// Thread safety: all members, on the store's task only.
template <Store S, Clock C, OrderSender Sender>
class OrderPlanner
{
public:
    /// Precondition: the policy's successorWait_ is at least the targets' read timeout; store, clock and sender outlive the planner,
    /// which outlives all their replies.
    OrderPlanner(S &store, const C &clock, Sender &sender, const LeasePolicy &policy, const std::string &domain, const std::string &holder)
        : store_(store)
        , clock_(clock)
        , sender_(sender)
        , policy_(policy)
        , lease_(store, clock, policy, "duty/planner/" + domain, holder)
    {
    }

    /// Sets the desired order for its target; the planner assigns the fencing and sequence numbers.
    void setDesired(const Order &order)
    {
        desired_[order.target_] = order;
    }

    /// Takes the next step. To be called several times within the lease's margin.
    void tick()
    {
        lease_.tick();
        if (!isBusy_ && lease_.mayAct()) {
            isBusy_ = true;
            processTarget(desired_.begin());
        }
    }

    const LeaseHolder<S, C> &lease() const
    {
        return lease_;
    }

private:
    using TargetIterator = std::map<std::string, Order>::const_iterator;

    /// An order without an answer. It may still arrive at its target before mayArriveUntil_, so no other order is sent there until then.
    struct UnansweredOrder {
        std::uint64_t sequence_ = 0;
        MonotonicTime mayArriveUntil_;
    };

    static std::string intentKey(const std::string &target)
    {
        return "order/" + target;
    }

    void endRound()
    {
        isBusy_ = false;
    }

    void processTarget(TargetIterator target)
    {
        if (target == desired_.end() || !lease_.mayAct()) {
            endRound();
            return;
        }
        store_.read(intentKey(target->first), [this, target](const Result<std::optional<StoreEntry>> &answer) {
            if (!answer) {
                endRound();
            } else if (*answer) {
                const auto intent = ordercodec::decodeIntent((*answer)->value_);
                intent ? takeStep(target, *intent, (*answer)->revision_) : endRound();
            } else {
                takeStep(target, std::nullopt, 0);
            }
        });
    }

    void takeStep(TargetIterator target, const std::optional<OrderIntent> &current, StoreRevision revision)
    {
        if (!lease_.mayAct()) {
            endRound();
            return;
        }
        auto desired = target->second;
        desired.fencing_ = lease_.fencingNumber();
        switch (nextOrderStep(current, desired)) {
        case OrderStep::Nothing:
            processTarget(std::next(target));
            break;
        case OrderStep::Write:
            write(target, nextIntent(current, std::move(desired)), revision);
            break;
        case OrderStep::Send:
            send(target, *current, revision);
            break;
        case OrderStep::StepDown:
            endRound();
            break;
        }
    }

    void write(TargetIterator target, const OrderIntent &intent, StoreRevision revision)
    {
        put(intent, revision, [this, target, intent](const Result<StoreRevision> &answer) {
            // If the outcome of the write is unknown, the next round reads the stored intent.
            answer ? send(target, intent, *answer) : endRound();
        });
    }

    void send(TargetIterator target, const OrderIntent &intent, StoreRevision revision)
    {
        if (!lease_.mayAct() || mustWaitForAnswer(intent.order_)) {
            endRound();
            return;
        }
        unansweredOrders_[intent.order_.target_] = { intent.order_.sequence_, clock_.now() + policy_.successorWait_ };
        sender_.send(
            intent.order_,
            [this] { return lease_.mayAct(); },
            [this, target, intent, revision](const Result<void> &answer) {
                if (!answer) {
                    endRound();
                    return;
                }
                unansweredOrders_.erase(intent.order_.target_);
                markDone(target, intent, revision);
            });
    }

    bool mustWaitForAnswer(const Order &order) const
    {
        const auto found = unansweredOrders_.find(order.target_);
        return found != unansweredOrders_.end() && found->second.sequence_ != order.sequence_ && clock_.now() < found->second.mayArriveUntil_;
    }

    void markDone(TargetIterator target, OrderIntent intent, StoreRevision revision)
    {
        intent.isDone_ = true;
        put(intent, revision, [this, target](const Result<StoreRevision> &answer) { answer ? processTarget(std::next(target)) : endRound(); });
    }

    void put(const OrderIntent &intent, StoreRevision revision, StoreReply<StoreRevision> reply)
    {
        StoreWrite write;
        write.key_ = intentKey(intent.order_.target_);
        write.value_ = ordercodec::encodeIntent(intent);
        write.expectedRevision_ = revision;
        store_.compareAndSwap(write, std::move(reply));
    }

    S &store_;
    const C &clock_;
    Sender &sender_;
    LeasePolicy policy_;
    LeaseHolder<S, C> lease_;
    std::map<std::string, Order> desired_;
    std::map<std::string, UnansweredOrder> unansweredOrders_;
    bool isBusy_ = false;
};

} // namespace cowsliphead
