#pragma once

#include <memory>

#include "gateway/cachehandle.h"
#include "gateway/dialect.h"
#include "gateway/gatewaycontext.h"
#include "http1/clientconnection.h"
#include "http1/messagewriter.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Tells an engine that a KV cache will not be fetched. If the call fails or is not answered in time, the cache expires by itself.
/// Thread safety: the context's task only.
template <Dialect D>
void releaseCache(GatewayContext &context, const CacheHandle &handle)
{
    constexpr std::chrono::milliseconds ConnectTimeout{ 300 };
    constexpr std::chrono::milliseconds CallTimeout{ 1000 };
    const auto connection = std::make_shared<ClientConnection>(context.loop_, handle.engine_);
    // The events own the timer, and the connection owns the events until it is closed.
    const auto timer = std::make_shared<Timer>(context.loop_, [weak = std::weak_ptr(connection)] {
        if (const auto late = weak.lock()) {
            late->close();
        }
    });
    timer->startOnce(CallTimeout);
    connection->begin({
                          .onOpen_ = [connection, head = D::releaseRequest(handle)] { connection->write(requestBytes(head)); },
                          .onHead_ = [timer](const ResponseHead & /*head*/) { return AnswerHandling::Accept; },
                          .onData_ = [](std::string_view /*data*/) {},
                          .onComplete_ = [connection] { connection->close(); },
                          .onFailed_ = [](ConnectionFailure /*failure*/) {},
                      },
                      ConnectTimeout);
}

} // namespace cowsliphead
