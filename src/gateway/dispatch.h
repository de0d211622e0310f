#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "decide/lifesign.h"
#include "gateway/dialect.h"
#include "gateway/dispatchevents.h"
#include "gateway/dispatchplan.h"
#include "gateway/gatewaycontext.h"
#include "http/httpstatus.h"
#include "http1/clientconnection.h"
#include "http1/messagewriter.h"
#include "logs/log.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Sends a request to one endpoint and receives its response. Thread safety: the loop's task only.
template <Dialect D>
class Dispatch
{
public:
    /// Precondition: context and plan's request outlive the dispatch.
    Dispatch(GatewayContext &context, std::shared_ptr<EndpointState> endpoint, DispatchPlan plan, DispatchEvents events)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , plan_(std::move(plan))
        , events_(std::move(events))
        , noDataTimer_(context.loop_, [this] { onNoDataTimeout(); })
        , share_(context.buffers_, [this] { abandon(failureName(ConnectionFailure::OverBudget)); })
    {
        ++endpoint_->running_;
        queuedTokens_ = plan_.promptTokens_;
        endpoint_->prefillQueue_.promptSent(queuedTokens_);
    }

    ~Dispatch()
    {
        --endpoint_->running_;
        removeFromPrefillQueue();
        if (connection_) {
            connection_->close();
        }
    }

    Dispatch(const Dispatch &) = delete;
    Dispatch &operator=(const Dispatch &) = delete;

    /// Precondition: called once.
    void start()
    {
        const auto now = context_.clock_.now();
        connection_ = context_.endpoints_.acquireConnection(*endpoint_, plan_.needsNewConnection_, now);
        connection_->begin({
                               .onOpen_ = [this] { write(); },
                               .onHead_ = [this](const ResponseHead &head) { return onHead(head); },
                               .onData_ = [this](std::string_view data) { onData(data); },
                               .onComplete_ = [this] { complete(); },
                               .onFailed_ = [this](ConnectionFailure failure) { fail(failureName(failure), failure); },
                           },
                           ConnectTimeout);
    }

    /// The caller has read most of what it was sent: continues to read a stream.
    void callerDrained()
    {
        if (std::exchange(isPaused_, false) && connection_) {
            connection_->resumeReading();
            restartNoDataTimer();
        }
    }

    /// True once the request was written.
    bool isWritten() const
    {
        return isWritten_;
    }

    /// True once a successful streamed response has begun.
    bool isStreaming() const
    {
        return isStreaming_;
    }

    const DispatchPlan &plan() const
    {
        return plan_;
    }

    /// When the request was written. Without meaning unless isWritten().
    MonotonicTime writtenAt() const
    {
        return writtenAt_;
    }

    /// Tokens that the endpoint had yet to read when the request was written, with those of the request, as far as they were known.
    std::uint64_t tokensUntilRead() const
    {
        return tokensUntilRead_;
    }

    /// What the answer shows of the endpoint; nothing unless it is whole and names the request. Precondition: the dispatch has ended.
    const std::optional<LifeSign> &lifeSign() const
    {
        return lifeSign_;
    }

    EndpointState &endpoint() const
    {
        return *endpoint_;
    }

private:
    /// Ten times the longest round trip between failure domains, so that one lost packet can be retransmitted.
    static constexpr std::chrono::milliseconds ConnectTimeout{ 300 };

    /// Limit on an answer that is not streamed; a faulty endpoint may send bytes without end.
    static constexpr std::size_t MaxBufferedBytes = 8U << 20U;

    static constexpr int FirstRedirection = 300;
    static constexpr int FirstServerError = 500;

    void write()
    {
        const bool isUsable = endpoint_->isListed_ && !endpoint_->isLeaving_ && !endpoint_->pause_.remaining(context_.clock_.now());
        if (!isUsable || !events_.mayWrite_()) {
            end({ AttemptEnd::NotOffered, {}, {}, "withheld" });
            return;
        }
        isWritten_ = true;
        writtenAt_ = context_.clock_.now();
        openedAt_ = connection_->openedAt();
        const auto others = endpoint_->loadOfOthers(writtenAt_).value_or(EndpointLoad{});
        tokensUntilRead_ = endpoint_->prefillQueue_.tokens() + others.promptTokens_;
        auto head = D::endpointRequest(plan_.head_, plan_.metadata_);
        if (!plan_.body_.empty() || plan_.head_.method_ != "GET") {
            head.headers_.emplace_back("Content-Length", std::to_string(plan_.body_.size()));
        }
        connection_->write(requestBytes(head) + plan_.body_);
        restartNoDataTimer();
    }

    void restartNoDataTimer()
    {
        if (plan_.noDataTimeout_.count() > 0 && !isPaused_) {
            noDataTimer_.startOnce(plan_.noDataTimeout_);
        }
    }

    void removeFromPrefillQueue()
    {
        endpoint_->prefillQueue_.promptDone(std::exchange(queuedTokens_, 0));
    }

    AnswerHandling onHead(const ResponseHead &head)
    {
        const auto metadata = D::readResponse(head);
        EndpointTable::answered(*endpoint_, metadata, openedAt_, context_.clock_.now());
        if (!metadata.attemptId_.empty() && metadata.attemptId_ != plan_.attemptId_) {
            logEvent(LogEvent::AnswerCrossed,
                     { { "request", plan_.attemptId_ }, { "endpoint", endpoint_->entry_.id_.value() }, { "answerTo", metadata.attemptId_ } });
            return AnswerHandling::Discard;
        }
        restartNoDataTimer();
        removeFromPrefillQueue();
        response_ = metadata;
        head_ = head;
        isStreaming_ = plan_.isStream_ && head.status_ == httpstatus::Ok && metadata.isGenuine_;
        if (isStreaming_) {
            events_.onStream_(head_);
        }
        return AnswerHandling::Accept;
    }

    void onData(std::string_view data)
    {
        if (isStreaming_) {
            onStreamData(data);
            return;
        }
        restartNoDataTimer();
        if (body_.size() + data.size() > MaxBufferedBytes) {
            abandon("too_long");
            return;
        }
        if (body_.size() + data.size() > body_.capacity()) {
            body_.reserve(std::min(MaxBufferedBytes, 2 * (body_.size() + data.size())));
        }
        body_.append(data);
        share_.resize(body_.capacity());
    }

    /// Only whole events show that the endpoint makes progress.
    void onStreamData(std::string_view data)
    {
        const auto progress = events_.onData_(data);
        partialEventBytes_ = progress == StreamProgress::Partial ? partialEventBytes_ + data.size() : data.size();
        share_.resize(partialEventBytes_);
        switch (progress) {
        case StreamProgress::Event:
            restartNoDataTimer();
            break;
        case StreamProgress::Partial:
            break;
        case StreamProgress::Congested:
            // The endpoint is not to blame for the silence that follows.
            isPaused_ = true;
            noDataTimer_.cancel();
            connection_->pauseReading();
            break;
        case StreamProgress::Oversized:
            abandon("too_long");
            break;
        }
    }

    void complete()
    {
        auto connection = std::exchange(connection_, nullptr);
        if (response_.attemptId_ == plan_.attemptId_) {
            lifeSign_ = LifeSign{ endpoint_->incarnation_, openedAt_, writtenAt_ };
        }
        if (plan_.needsNewConnection_ || response_.attemptId_ != plan_.attemptId_) {
            // A request that needs a new connection would not reuse it, and the endpoint limits its connections. After a response that names
            // no request, the request's own may follow.
            connection->close();
        } else {
            context_.endpoints_.releaseConnection(*endpoint_, std::move(connection), context_.clock_.now());
        }
        const auto result = endOfResponse();
        const bool isReplaced = result == AttemptEnd::NotExecuted && isFromAnother();
        end({ result, std::move(head_), std::move(body_), result == AttemptEnd::Lost ? "not_genuine" : "", {}, true, isReplaced });
    }

    /// True if another endpoint answers at this one's address.
    bool isFromAnother() const
    {
        return response_.isMisdirected_ && !response_.answeredBy_.isEmpty() && response_.answeredBy_ != endpoint_->entry_.id_;
    }

    bool isNotExecuted() const
    {
        return response_.isNotExecuted_ || isFromAnother();
    }

    AttemptEnd endOfResponse() const
    {
        if (isNotExecuted()) {
            // Without the request's identifier it may be the refusal of an earlier request, sent once more.
            return response_.attemptId_ == plan_.attemptId_ ? AttemptEnd::NotExecuted : AttemptEnd::Lost;
        }
        if (response_.isRefusal_) {
            return AttemptEnd::Unproven;
        }
        if (head_.status_ >= FirstServerError) {
            return AttemptEnd::Failed;
        }
        if (head_.status_ < FirstRedirection && !response_.isGenuine_) {
            return AttemptEnd::Lost;
        }
        return AttemptEnd::Answered;
    }

    void onNoDataTimeout()
    {
        if (!events_.mayAbandon_()) {
            restartNoDataTimer();
            return;
        }
        abandon("silent");
    }

    void abandon(const char *reason)
    {
        connection_->close();
        fail(reason);
    }

    void fail(const char *reason, std::optional<ConnectionFailure> failure = std::nullopt)
    {
        connection_.reset();
        end({ isWritten_ ? AttemptEnd::Lost : AttemptEnd::NotOffered, {}, {}, reason, failure, head_.status_ != 0 });
    }

    void end(AttemptResult result)
    {
        noDataTimer_.cancel();
        // The receiver usually destroys this dispatch.
        const auto onEnd = events_.onEnd_;
        onEnd(std::move(result));
    }

    GatewayContext &context_;
    std::shared_ptr<EndpointState> endpoint_;
    DispatchPlan plan_;
    DispatchEvents events_;
    Timer noDataTimer_;
    std::shared_ptr<ClientConnection> connection_;
    MonotonicTime writtenAt_;

    /// When the connection was opened that the request was written to.
    MonotonicTime openedAt_;
    std::optional<LifeSign> lifeSign_;
    std::uint64_t queuedTokens_ = 0;
    std::uint64_t tokensUntilRead_ = 0;
    ResponseMetadata response_;
    ResponseHead head_;
    std::string body_;

    /// Bytes since the last whole event of a stream, at the most.
    std::size_t partialEventBytes_ = 0;

    /// What the body, or the incomplete event of a stream, occupies.
    BufferShare share_;
    bool isPaused_ = false;
    bool isWritten_ = false;
    bool isStreaming_ = false;
};

} // namespace cowsliphead
