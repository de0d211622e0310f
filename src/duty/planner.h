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

/// Brings the targets of one failure domain to what is wanted, while it holds the duty. Each order stands in the store as an
/// intent before it is sent. One order is under way at a time.
template <Store S, Clock C, OrderSender Sender>
class Planner
{
public:
    /// The policy's successorWait_ is at least the targets' read time-out. Precondition: store, clock and sender outlive the
    /// planner, which outlives all their answers. Thread safety: the store's task only.
    Planner(S &store, const C &clock, Sender &sender, const LeasePolicy &policy, const std::string &domain, const std::string &holder)
        : store_(store)
        , clock_(clock)
        , sender_(sender)
        , policy_(policy)
        , lease_(store, clock, policy, "duty/planner/" + domain, holder)
    {
    }

    /// Says what the target is to have; fencing and sequence are given later. Thread safety: the store's task only.
    void want(const Order &order)
    {
        wanted_[order.target_] = order;
    }

    /// Takes the next step. Call it several times a lease's margin. Thread safety: the store's task only.
    void tick()
    {
        lease_.tick();
        if (!isBusy_ && lease_.mayAct()) {
            isBusy_ = true;
            visit(wanted_.begin());
        }
    }

    /// Thread safety: the store's task only.
    const LeaseHolder<S, C> &lease() const
    {
        return lease_;
    }

private:
    using Place = std::map<std::string, Order>::const_iterator;

    /// An order whose answer is missing may still arrive until then, so no other one is sent to its target.
    struct Unsettled {
        std::uint64_t sequence_ = 0;
        MonotonicTime until_;
    };

    static std::string intentKey(const std::string &target)
    {
        return "order/" + target;
    }

    void endRound()
    {
        isBusy_ = false;
    }

    void visit(Place place)
    {
        if (place == wanted_.end() || !lease_.mayAct()) {
            endRound();
            return;
        }
        store_.read(intentKey(place->first), [this, place](const Result<std::optional<StoreEntry>> &answer) {
            if (!answer) {
                endRound();
            } else if (*answer) {
                const auto intent = ordercodec::decodeIntent((*answer)->value_);
                intent ? advance(place, *intent, (*answer)->revision_) : endRound();
            } else {
                advance(place, std::nullopt, 0);
            }
        });
    }

    void advance(Place place, const std::optional<OrderIntent> &current, StoreRevision revision)
    {
        if (!lease_.mayAct()) {
            endRound();
            return;
        }
        auto wanted = place->second;
        wanted.fencing_ = lease_.fencingNumber();
        switch (nextOrderStep(current, wanted)) {
        case OrderStep::Nothing:
            visit(std::next(place));
            break;
        case OrderStep::Write:
            write(place, nextIntent(current, std::move(wanted)), revision);
            break;
        case OrderStep::Send:
            send(place, *current, revision);
            break;
        case OrderStep::StepDown:
            endRound();
            break;
        }
    }

    void write(Place place, const OrderIntent &intent, StoreRevision revision)
    {
        put(intent, revision, [this, place, intent](const Result<StoreRevision> &answer) {
            // Without a clear answer the next round reads what stands.
            answer ? send(place, intent, *answer) : endRound();
        });
    }

    void send(Place place, const OrderIntent &intent, StoreRevision revision)
    {
        if (!lease_.mayAct() || mustWait(intent.order_)) {
            endRound();
            return;
        }
        unsettled_[intent.order_.target_] = { intent.order_.sequence_, clock_.now() + policy_.successorWait_ };
        sender_.send(
            intent.order_,
            [this] { return lease_.mayAct(); },
            [this, place, intent, revision](const Result<void> &answer) {
                if (!answer) {
                    endRound();
                    return;
                }
                unsettled_.erase(intent.order_.target_);
                finish(place, intent, revision);
            });
    }

    bool mustWait(const Order &order) const
    {
        const auto found = unsettled_.find(order.target_);
        return found != unsettled_.end() && found->second.sequence_ != order.sequence_ && clock_.now() < found->second.until_;
    }

    void finish(Place place, OrderIntent intent, StoreRevision revision)
    {
        intent.isDone_ = true;
        put(intent, revision, [this, place](const Result<StoreRevision> &answer) { answer ? visit(std::next(place)) : endRound(); });
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
    std::map<std::string, Order> wanted_;
    std::map<std::string, Unsettled> unsettled_;
    bool isBusy_ = false;
};

} // namespace cowsliphead
