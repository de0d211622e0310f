#pragma once

#include <string>

#include "gateway/attemptresult.h"
#include "gateway/dialect.h"
#include "gateway/gatewaycontext.h"
#include "gateway/refusalof.h"
#include "gateway/streamrelay.h"
#include "http1/callerconnection.h"
#include "http1/connectionheaders.h"
#include "http1/messagewriter.h"

namespace cowsliphead
{

/// The one answer that a caller gets: an endpoint's, whole or as a stream, or a refusal of the gateway's own.
template <Dialect D>
class CallerAnswer
{
public:
    /// Precondition: context and connection outlive the answer. Thread safety: the loop's task only.
    CallerAnswer(GatewayContext &context, CallerConnection &connection, MonotonicTime requestArrivedAt)
        : context_(context)
        , connection_(connection)
        , requestArrivedAt_(requestArrivedAt)
        , relay_(connection)
    {
    }

    /// What has been passed on of a stream. Thread safety: the loop's task only.
    StreamRelay &relay()
    {
        return relay_;
    }

    const StreamRelay &relay() const
    {
        return relay_;
    }

    /// An endpoint's stream begins, or goes on after another one's. Thread safety: the loop's task only.
    void beginStream(const ResponseHead &head)
    {
        if (!relay_.hasBegun()) {
            context_.metrics_.firstByte_.record(context_.clock_.now() - requestArrivedAt_);
        }
        relay_.begin(head);
    }

    /// The endpoint's answer is complete. Thread safety: the loop's task only.
    void passOn(const AttemptResult &result)
    {
        if (relay_.hasBegun()) {
            connection_.endAnswer();
            return;
        }
        context_.metrics_.firstByte_.record(context_.clock_.now() - requestArrivedAt_);
        connection_.respond(result.head_.status_, result.head_.reason_, endToEndHeaders(result.head_.headers_), result.body_);
    }

    /// Cuts a stream that cannot be made whole. Precondition: it has begun. Thread safety: the loop's task only.
    void abort()
    {
        connection_.abortAnswer();
    }

    /// Answers in the gateway's own name. Returns the status. Precondition: no stream has begun. Thread safety: the loop's task only.
    int refuse(ErrorCode code, const std::string &attemptId)
    {
        const auto refusal = refusalOf(code);
        HttpHeaders headers = D::ownAnswerHeaders(attemptId);
        if (refusal.retryAfter_) {
            headers.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(*refusal.retryAfter_).count()));
        }
        connection_.respond(refusal.status_, reasonPhrase(refusal.status_), std::move(headers), errorName(code));
        return refusal.status_;
    }

private:
    GatewayContext &context_;
    CallerConnection &connection_;
    MonotonicTime requestArrivedAt_;
    StreamRelay relay_;
};

} // namespace cowsliphead
