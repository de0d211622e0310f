#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/result.h"
#include "decide/order.h"

namespace cowsliphead
{

class EventLoop;
class HeldRequest;

/// Sends orders to one endpoint over HTTP, each on a connection of its own, and holds the last byte back until the sender's
/// authority is checked again. Models OrderSender.
class HeldOrderClient
{
public:
    /// Precondition: the loop outlives the client. Thread safety: the loop's task only.
    HeldOrderClient(EventLoop &loop, std::string host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HeldOrderClient();
    HeldOrderClient(const HeldOrderClient &) = delete;
    HeldOrderClient &operator=(const HeldOrderClient &) = delete;

    /// Asks mayAct once all bytes but the last are out. Errors: OrderWithheld (the endpoint never had the whole order),
    /// EndpointRefused, EndpointLost (it may have been carried out). Thread safety: the loop's task only.
    void send(const Order &order, std::function<bool()> mayAct, std::function<void(Result<void>)> reply);

private:
    EventLoop &loop_;
    std::string host_;
    std::uint16_t port_;
    std::chrono::milliseconds timeout_;
    std::vector<std::shared_ptr<HeldRequest>> requests_;
};

} // namespace cowsliphead
