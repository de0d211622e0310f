#pragma once

#include <memory>

#include "gateway/cachehandle.h"
#include "gateway/dialect.h"
#include "gateway/gatewaycontext.h"
#include "http1/clientconnection.h"
#include "http1/messagewriter.h"

namespace cowsliphead
{

/// Tells an engine that a KV cache which it keeps will not be taken. Without an answer the cache lapses by itself.
/// Thread safety: the context's task only.
template <Dialect D>
void releaseCache(GatewayContext &context, const CacheHandle &handle)
{
    constexpr std::chrono::milliseconds ConnectTimeout{ 300 };
    const auto connection = std::make_shared<ClientConnection>(context.loop_, handle.engine_);
    connection->begin({
                          .onOpen_ = [connection, head = D::releaseRequest(handle)] { connection->write(requestBytes(head)); },
                          .onHead_ = [](const ResponseHead & /*head*/) { return AnswerHandling::Accept; },
                          .onData_ = [](std::string_view /*data*/) {},
                          .onComplete_ = [connection] { connection->close(); },
                          .onFailed_ = [](ConnectionFailure /*failure*/) {},
                      },
                      ConnectTimeout);
}

} // namespace cowsliphead
