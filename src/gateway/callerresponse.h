#pragma once

#include <string>

#include "gateway/attemptresult.h"
#include "gateway/dialect.h"
#include "gateway/gatewaycontext.h"
#include "gateway/refusal.h"
#include "gateway/streamrelay.h"
#include "http1/callerconnection.h"
#include "http1/connectionheaders.h"
#include "http1/messagewriter.h"

namespace cowsliphead
{

/// Writes the single response to a caller: an endpoint's, whole or streamed, or an error of the gateway. Thread safety: the loop's task
/// only.
template <Dialect D>
class CallerResponse
{
public:
    /// Precondition: context and connection outlive the response.
    CallerResponse(GatewayContext &context, CallerConnection &connection, MonotonicTime requestArrivedAt)
        : context_(context)
        , connection_(connection)
        , requestArrivedAt_(requestArrivedAt)
        , relay_(connection)
    {
    }

    /// The relay of the streamed response.
    StreamRelay &relay()
    {
        return relay_;
    }

    const StreamRelay &relay() const
    {
        return relay_;
    }

    /// Starts the stream, or continues it with the stream of another endpoint.
    void beginStream(const ResponseHead &head)
    {
        if (!relay_.hasBegun()) {
            context_.metrics_.firstByte_.record(context_.clock_.now() - requestArrivedAt_);
        }
        relay_.begin(head);
    }

    /// Forwards an endpoint's complete response, or ends the stream.
    void forwardResponse(const AttemptResult &result)
    {
        if (relay_.hasBegun()) {
            connection_.endAnswer();
            return;
        }
        context_.metrics_.firstByte_.record(context_.clock_.now() - requestArrivedAt_);
        connection_.respond(result.head_.status_, result.head_.reason_, endToEndHeaders(result.head_.headers_), result.body_);
    }

    /// Aborts a stream that cannot be completed. Precondition: the stream has begun.
    void abort()
    {
        connection_.abortAnswer();
    }

    /// Sends an error response of the gateway. Returns its status. Precondition: no stream has begun.
    int refuse(const Refusal &refusal, const std::string &attemptId)
    {
        HttpHeaders headers = D::gatewayResponseHeaders(attemptId);
        if (refusal.retryAfter_) {
            headers.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(*refusal.retryAfter_).count()));
        }
        connection_.respond(refusal.status_, reasonPhrase(refusal.status_), std::move(headers), errorName(refusal.code_));
        return refusal.status_;
    }

private:
    GatewayContext &context_;
    CallerConnection &connection_;
    MonotonicTime requestArrivedAt_;
    StreamRelay relay_;
};

} // namespace cowsliphead
