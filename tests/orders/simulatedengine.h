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

/// Simulated engine that receives orders; it drops a request whose last byte does not arrive within the read timeout.
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
    bool receiveLastByte(const Order &order, MonotonicTime openedAt)
    {
        return clock_.now() - openedAt < ReadTimeout && orders_.execute(order);
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

/// Connection of one process to an engine; a turn passes between mayAct and the last byte, in which the process may be paused.
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

    /// Advances each open request by one turn: calls mayAct, or sends the last byte.
    void sendNext()
    {
        for (auto &request : std::exchange(open_, {})) {
            if (request.isChecked_) {
                const bool isAccepted = engine_.receiveLastByte(request.order_, request.openedAt_);
                request.reply_(isAccepted && !losesAnswers_ ? Result<void>() : Result<void>(failure(ErrorCode::EndpointLost)));
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
