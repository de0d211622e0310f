#include "claim/claimbehaviour.h"

#include <utility>

#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// Time limit of the flush at shutdown. Keys whose end is not written by then stay claimed, which is safe.
constexpr std::chrono::seconds LongestFlush{ 2 };

} // namespace

ClaimBehaviour::ClaimBehaviour(EventLoop &loop, const StoreSettings &settings, const Address<ClaimVerdict> &receiver)
    : loop_(loop)
    , store_(loop, settings.host_, settings.port_, settings.timeout_)
    , batcher_(loop, store_, ClaimLimits{}, [receiver](ClaimVerdict verdict) { receiver.send(std::move(verdict)); })
    , flushTimeout_(loop, [this] { loop_.stop(); })
{
}

ClaimBehaviour::~ClaimBehaviour() = default;

void ClaimBehaviour::receive(Message message)
{
    std::visit([this](auto typedMessage) { handle(std::move(typedMessage)); }, std::move(message));
}

void ClaimBehaviour::handle(ClaimRequest request)
{
    batcher_.ask(std::move(request));
}

void ClaimBehaviour::handle(ClaimEnd end)
{
    batcher_.end(std::move(end));
}

void ClaimBehaviour::handle(ClaimFlush /*flush*/)
{
    if (batcher_.isIdle()) {
        loop_.stop();
        return;
    }
    batcher_.onIdle([this] { loop_.stop(); });
    flushTimeout_.startOnce(LongestFlush);
}

} // namespace cowsliphead
