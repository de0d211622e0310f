#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "gateway/exchange.h"
#include "http1/callerconnection.h"

namespace cowsliphead
{

/// A caller's connection and its current request. Thread safety: the loop's task only.
template <Dialect D>
class CallerSession
{
public:
    /// Takes ownership of the socket; onClosed is called once. Precondition: the context outlives the session.
    CallerSession(GatewayContext &context, int socket, const CallerConnectionLimits &limits, std::function<void()> onClosed)
        : context_(context)
        , acceptedAt_(context.clock_.now())
        , connection_(context.loop_,
                      socket,
                      limits,
                      {
                          .onRequest_ = [this](CallerRequest request) { begin(std::move(request)); },
                          .onDisconnected_ = [this] { onCallerLeft(); },
                          .onDrained_ =
                              [this] {
                                  if (exchange_) {
                                      exchange_->callerDrained();
                                  }
                              },
                          .onRequestRefused_ =
                              [](int status) {
                                  logEvent(LogEvent::RequestMalformed, { { "status", std::uint64_t(status) } });
                              },
                          .onClosed_ = std::move(onClosed),
                      },
                      &context.buffers_)
    {
    }

    CallerConnection &connection()
    {
        return connection_;
    }

    MonotonicTime acceptedAt() const
    {
        return acceptedAt_;
    }

    /// Sends the final response to the current request, since the process is stopping.
    void onProcessStopping()
    {
        if (exchange_) {
            exchange_->onProcessStopping();
        }
    }

private:
    void begin(CallerRequest request)
    {
        const auto number = ++exchangeNumber_;
        exchange_ = std::make_unique<Exchange<D>>(context_, connection_, std::move(request), [this, alive = std::weak_ptr(alive_), number] {
            if (!alive.expired() && number == exchangeNumber_) {
                exchange_.reset();
            }
        });
        exchange_->start();
    }

    void onCallerLeft()
    {
        if (exchange_) {
            exchange_->callerLeft();
        }
    }

    GatewayContext &context_;
    MonotonicTime acceptedAt_;
    CallerConnection connection_;
    std::unique_ptr<Exchange<D>> exchange_;
    std::uint64_t exchangeNumber_ = 0;

    /// Lets deferred callbacks check whether the session still exists.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cowsliphead
