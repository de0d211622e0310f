#include "standin/engineanswer.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "endpoint/endpointheaders.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"
#include "standin/enginepieces.h"

namespace cowsliphead
{

EngineAnswer::EngineAnswer(EngineRequest request, std::uint32_t reportedLoad, std::shared_ptr<HttpResponder> responder)
    : request_(std::move(request))
    , reportedLoad_(reportedLoad)
    , responder_(std::move(responder))
    , producedTokens_(request_.resumeFrom_)
{
}

EngineAnswer::~EngineAnswer() = default;

void EngineAnswer::start(std::function<void()> onCancelled)
{
    onCancelled_ = std::move(onCancelled);
    responder_->onClientDisconnected([this] {
        isEnded_ = true;
        onCancelled_();
    });
    if (request_.isStreamed_) {
        responder_->startChunks(head("text/event-stream"));
    }
}

void EngineAnswer::advance()
{
    if (delayedSteps_ > 0) {
        --delayedSteps_;
        return;
    }
    if (producedTokens_ >= request_.requestedTokens_) {
        end();
        return;
    }
    if (tokensUntilSilence_ == 0U) {
        return;
    }
    if (tokensUntilSilence_) {
        --*tokensUntilSilence_;
    }
    if (request_.isStreamed_) {
        responder_->sendChunk(encodeEvent(tokenText(producedTokens_), nullptr));
    }
    ++producedTokens_;
    if (isTruncated_ && request_.isStreamed_) {
        isEnded_ = true;
        responder_->endChunks();
    }
}

bool EngineAnswer::isEnded() const
{
    return isEnded_;
}

void EngineAnswer::delay(std::uint32_t steps)
{
    delayedSteps_ = steps;
}

void EngineAnswer::stopSendingAfter(std::uint32_t tokens)
{
    tokensUntilSilence_ = tokens;
}

void EngineAnswer::truncate()
{
    isTruncated_ = true;
}

std::uint32_t EngineAnswer::kvPieces() const
{
    return (request_.promptTokens_ + request_.requestedTokens_ + enginepieces::PieceTokens - 1) / enginepieces::PieceTokens;
}

const EngineRequest &EngineAnswer::request() const
{
    return request_;
}

HttpResponseHead EngineAnswer::head(const char *contentType) const
{
    HttpResponseHead head{ httpstatus::Ok, { { "Content-Type", contentType }, { endpointheaders::RequestId, request_.requestId_ } } };
    head.headers_.emplace_back(endpointheaders::ReportedLoad, std::to_string(reportedLoad_));
    if (request_.resumeFrom_ > 0) {
        head.headers_.emplace_back(endpointheaders::ResumeFrom, std::to_string(request_.resumeFrom_));
    }
    return head;
}

void EngineAnswer::end()
{
    isEnded_ = true;
    if (!request_.isStreamed_) {
        responder_->reply(head("application/json"), wholeBody());
        return;
    }
    // The event with the finish reason is numbered as the one after the last token, so that an answer resumed after it leaves it out.
    if (producedTokens_ == request_.requestedTokens_) {
        responder_->sendChunk(encodeEvent({}, "stop"));
    }
    responder_->sendChunk("data: [DONE]\n\n");
    responder_->endChunks();
}

std::string EngineAnswer::tokenText(std::uint32_t index) const
{
    return request_.tokenText_ + std::to_string(index) + " ";
}

std::string EngineAnswer::encodeEvent(const std::string &text, const char *finishReason) const
{
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", finishReason == nullptr ? nlohmann::json() : nlohmann::json(finishReason) } };
    if (request_.isChat_) {
        choice["delta"] = text.empty() ? nlohmann::json::object() : nlohmann::json{ { "content", text } };
    } else {
        choice["text"] = text;
    }
    const nlohmann::json event = {
        { "id", "chatcmpl-" + request_.requestId_ },
        { "object", request_.isChat_ ? "chat.completion.chunk" : "text_completion" },
        { "created", 0 },
        { "model", request_.model_ },
        { "choices", nlohmann::json::array({ choice }) },
    };
    return "data: " + event.dump() + "\n\n";
}

std::string EngineAnswer::wholeBody() const
{
    std::string text;
    for (std::uint32_t index = 0; index < request_.requestedTokens_; ++index) {
        text += tokenText(index);
    }
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
    if (request_.isChat_) {
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    } else {
        choice["text"] = text;
    }
    const nlohmann::json body = {
        { "id", "chatcmpl-" + request_.requestId_ },
        { "object", request_.isChat_ ? "chat.completion" : "text_completion" },
        { "created", 0 },
        { "model", request_.model_ },
        { "choices", nlohmann::json::array({ choice }) },
        { "usage",
          { { "prompt_tokens", request_.promptTokens_ },
            { "completion_tokens", request_.requestedTokens_ },
            { "total_tokens", request_.promptTokens_ + request_.requestedTokens_ } } },
    };
    return body.dump();
}

} // namespace cowsliphead
