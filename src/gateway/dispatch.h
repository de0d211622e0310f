#pragma once

#include <memory>
#include <string>
#include <utility>

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

/// One request sent to one endpoint, and its answer.
template <Dialect D>
class Dispatch
{
public:
    /// Precondition: context and plan's request outlive the dispatch. Thread safety: the loop's task only.
    Dispatch(GatewayContext &context, std::shared_ptr<EndpointState> endpoint, DispatchPlan plan, DispatchEvents events)
        : context_(context)
        , endpoint_(std::move(endpoint))
        , plan_(std::move(plan))
        , events_(std::move(events))
        , silence_(context.loop_, [this] { wentSilent(); })
    {
        ++endpoint_->running_;
        unreadTokens_ = plan_.promptTokens_;
        endpoint_->queue_.began(unreadTokens_);
    }

    ~Dispatch()
    {
        --endpoint_->running_;
        promptIsRead();
        if (connection_) {
            connection_->close();
        }
    }

    Dispatch(const Dispatch &) = delete;
    Dispatch &operator=(const Dispatch &) = delete;

    /// Precondition: called once. Thread safety: the loop's task only.
    void start()
    {
        const auto now = context_.clock_.now();
        connection_ = context_.endpoints_.connect(*endpoint_, plan_.needsNewConnection_, now);
        connection_->begin({
                               .onOpen_ = [this] { write(); },
                               .onHead_ = [this](const ResponseHead &head) { return takeHead(head); },
                               .onData_ = [this](std::string_view data) { takeData(data); },
                               .onComplete_ = [this] { complete(); },
                               .onFailed_ = [this](ConnectionFailure failure) { fail(failureName(failure)); },
                           },
                           ConnectTimeout);
    }

    /// True once the request was written. Thread safety: the loop's task only.
    bool isWritten() const
    {
        return isWritten_;
    }

    /// Thread safety: the loop's task only.
    const DispatchPlan &plan() const
    {
        return plan_;
    }

    /// When the request was written. Precondition: isWritten(). Thread safety: the loop's task only.
    MonotonicTime writtenAt() const
    {
        return writtenAt_;
    }

    /// Thread safety: the loop's task only.
    EndpointState &endpoint() const
    {
        return *endpoint_;
    }

private:
    /// Ten times the longest round trip between failure domains, with room for one lost packet's repetition.
    static constexpr std::chrono::milliseconds ConnectTimeout{ 300 };

    static constexpr int FirstRedirection = 300;
    static constexpr int FirstServerError = 500;

    void write()
    {
        if (!endpoint_->isListed_ || !events_.mayWrite_()) {
            end({ AttemptEnd::NotOffered, {}, {}, "withheld" });
            return;
        }
        isWritten_ = true;
        writtenAt_ = context_.clock_.now();
        auto head = D::endpointRequest(plan_.head_, plan_.facts_);
        if (!plan_.body_.empty() || plan_.head_.method_ != "GET") {
            head.headers_.emplace_back("Content-Length", std::to_string(plan_.body_.size()));
        }
        connection_->write(requestBytes(head) + plan_.body_);
        listen();
    }

    void listen()
    {
        if (plan_.silenceLimit_.count() > 0) {
            silence_.startOnce(plan_.silenceLimit_);
        }
    }

    void promptIsRead()
    {
        endpoint_->queue_.ended(std::exchange(unreadTokens_, 0));
    }

    AnswerHandling takeHead(const ResponseHead &head)
    {
        const auto facts = D::readAnswer(head);
        if (!facts.attemptId_.empty() && facts.attemptId_ != plan_.attemptId_) {
            logEvent(LogEvent::AnswerCrossed,
                     { { "request", plan_.attemptId_ }, { "endpoint", endpoint_->entry_.id_.value() }, { "answerTo", facts.attemptId_ } });
            return AnswerHandling::Discard;
        }
        listen();
        promptIsRead();
        answer_ = facts;
        head_ = head;
        isStreaming_ = plan_.isStream_ && head.status_ == httpstatus::Ok && facts.isGenuine_;
        if (isStreaming_) {
            events_.onStream_(head_);
        }
        return AnswerHandling::Accept;
    }

    void takeData(std::string_view data)
    {
        listen();
        if (isStreaming_) {
            events_.onData_(data);
        } else {
            body_.append(data);
        }
    }

    void complete()
    {
        auto connection = std::exchange(connection_, nullptr);
        if (plan_.needsNewConnection_) {
            // The next such request would not use it, and an endpoint takes only so many connections.
            connection->close();
        } else {
            context_.endpoints_.giveBack(*endpoint_, std::move(connection), context_.clock_.now());
        }
        end({ endOfAnswer(), std::move(head_), std::move(body_), "" });
    }

    AttemptEnd endOfAnswer() const
    {
        if (answer_.isNotExecuted_) {
            return AttemptEnd::NotExecuted;
        }
        if (head_.status_ >= FirstServerError) {
            return AttemptEnd::Failed;
        }
        if (head_.status_ < FirstRedirection && !answer_.isGenuine_) {
            return AttemptEnd::Lost;
        }
        return AttemptEnd::Answered;
    }

    void wentSilent()
    {
        if (!events_.mayAbandon_()) {
            listen();
            return;
        }
        connection_->close();
        fail("silent");
    }

    void fail(const char *reason)
    {
        connection_.reset();
        end({ isWritten_ ? AttemptEnd::Lost : AttemptEnd::NotOffered, {}, {}, reason });
    }

    void end(AttemptResult result)
    {
        silence_.cancel();
        // The receiver usually destroys this dispatch.
        const auto onEnd = events_.onEnd_;
        onEnd(std::move(result));
    }

    GatewayContext &context_;
    std::shared_ptr<EndpointState> endpoint_;
    DispatchPlan plan_;
    DispatchEvents events_;
    Timer silence_;
    std::shared_ptr<ClientConnection> connection_;
    MonotonicTime writtenAt_;
    std::uint64_t unreadTokens_ = 0;
    AnswerFacts answer_;
    ResponseHead head_;
    std::string body_;
    bool isWritten_ = false;
    bool isStreaming_ = false;
};

} // namespace cowsliphead
