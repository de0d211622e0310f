#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "core/errorcode.h"
#include "core/result.h"
#include "core/virtualclock.h"
#include "standin/engineorders.h"

namespace cowsliphead
{

/// An engine as orders reach it: a request whose last byte does not come within the read time-out is dropped.
class SimulatedEngine
{
public:
    static constexpr std::chrono::seconds ReadTimeout{ 2 };

    SimulatedEngine(const VirtualClock &clock, bool checksFencing)
        : clock_(clock)
        , orders_(checksFencing)
    {
    }

    /// Returns false if the request was dropped or refused.
    bool lastByte(const Order &order, MonotonicTime openedAt)
    {
        return clock_.now() - openedAt < ReadTimeout && orders_.take(order);
    }

    MonotonicTime now() const
    {
        return clock_.now();
    }

    const std::vector<Order> &executedOrders() const
    {
        return orders_.executedOrders();
    }

private:
    const VirtualClock &clock_;
    EngineOrders orders_;
};

/// One process's way to an engine; a turn passes between the check and the last byte, in which the process may be paused.
/// Models OrderSender.
class EngineLink
{
public:
    using Reply = std::function<void(Result<void>)>;

    explicit EngineLink(SimulatedEngine &engine)
        : engine_(engine)
    {
    }

    void send(const Order &order, std::function<bool()> mayAct, Reply reply)
    {
        open_.push_back({ order, std::move(mayAct), std::move(reply), engine_.now(), false });
    }

    void setLosesAnswers(bool losesAnswers)
    {
        losesAnswers_ = losesAnswers;
    }

    /// Takes each order one turn further.
    void pump()
    {
        for (auto &request : std::exchange(open_, {})) {
            if (request.isChecked_) {
                const bool isTaken = engine_.lastByte(request.order_, request.openedAt_);
                request.reply_(isTaken && !losesAnswers_ ? Result<void>() : Result<void>(failure(ErrorCode::EndpointLost)));
            } else if (request.mayAct_()) {
                request.isChecked_ = true;
                open_.push_back(std::move(request));
            } else {
                request.reply_(failure(ErrorCode::OrderWithheld));
            }
        }
    }

private:
    struct OpenRequest {
        Order order_;
        std::function<bool()> mayAct_;
        Reply reply_;
        MonotonicTime openedAt_;
        bool isChecked_ = false;
    };

    SimulatedEngine &engine_;
    std::vector<OpenRequest> open_;
    bool losesAnswers_ = false;
};

} // namespace cowsliphead
