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

/// Sends orders to one endpoint over HTTP, each on its own connection, and holds back the last byte until mayAct() confirms that the
/// sender may still act. Models OrderSender.
/// Thread safety: all members, on the loop's task only.
class HeldOrderClient
{
public:
    /// Precondition: the loop outlives the client.
    HeldOrderClient(EventLoop &loop, std::string host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HeldOrderClient();
    HeldOrderClient(const HeldOrderClient &) = delete;
    HeldOrderClient &operator=(const HeldOrderClient &) = delete;

    /// Calls mayAct once all bytes but the last have been written. Errors: OrderWithheld (the endpoint did not receive the complete
    /// order), EndpointRefused, EndpointLost (the order may have been carried out).
    void send(const Order &order, std::function<bool()> mayAct, std::function<void(Result<void>)> reply);

private:
    EventLoop &loop_;
    std::string host_;
    std::uint16_t port_;
    std::chrono::milliseconds timeout_;
    std::vector<std::shared_ptr<HeldRequest>> requests_;
};

} // namespace cowsliphead
