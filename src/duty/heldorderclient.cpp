#include "duty/heldorderclient.h"

#include <utility>

#include "duty/heldrequest.h"
#include "duty/ordercodec.h"
#include "duty/orderpath.h"

namespace cowsliphead
{

HeldOrderClient::HeldOrderClient(EventLoop &loop, std::string host, std::uint16_t port, std::chrono::milliseconds timeout)
    : loop_(loop)
    , host_(std::move(host))
    , port_(port)
    , timeout_(timeout)
{
}

HeldOrderClient::~HeldOrderClient() = default;

void HeldOrderClient::send(const Order &order, std::function<bool()> mayAct, std::function<void(Result<void>)> reply)
{
    auto request = std::make_shared<HeldRequest>(loop_, host_, port_, timeout_);
    requests_.push_back(request);
    const auto forget = [this, request = request.get(), reply = std::move(reply)](const Result<void> &result) {
        std::erase_if(requests_, [request](const auto &known) { return known.get() == request; });
        reply(result);
    };
    request->start(OrderPath, host_ + ":" + std::to_string(port_), ordercodec::encodeOrder(order), std::move(mayAct), forget);
}

} // namespace cowsliphead
