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

EngineAnswer::EngineAnswer(EngineQuestion question, std::uint32_t reportedLoad, std::shared_ptr<HttpResponder> responder)
    : question_(std::move(question))
    , reportedLoad_(reportedLoad)
    , responder_(std::move(responder))
    , produced_(question_.resumeFrom_)
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
    if (question_.isStreamed_) {
        responder_->startChunks(head("text/event-stream"));
    }
}

void EngineAnswer::advance()
{
    if (delayedSteps_ > 0) {
        --delayedSteps_;
        return;
    }
    if (produced_ >= question_.wantedTokens_) {
        end();
        return;
    }
    if (tokensUntilSilence_ == 0U) {
        return;
    }
    if (tokensUntilSilence_) {
        --*tokensUntilSilence_;
    }
    if (question_.isStreamed_) {
        responder_->sendChunk(eventFor(tokenText(produced_), nullptr));
    }
    ++produced_;
    if (isTruncated_ && question_.isStreamed_) {
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

void EngineAnswer::fallSilentAfter(std::uint32_t tokens)
{
    tokensUntilSilence_ = tokens;
}

void EngineAnswer::truncate()
{
    isTruncated_ = true;
}

std::uint32_t EngineAnswer::kvPieces() const
{
    return (question_.promptTokens_ + question_.wantedTokens_ + enginepieces::PieceTokens - 1) / enginepieces::PieceTokens;
}

const EngineQuestion &EngineAnswer::question() const
{
    return question_;
}

HttpResponseHead EngineAnswer::head(const char *contentType) const
{
    HttpResponseHead head{ httpstatus::Ok, { { "Content-Type", contentType }, { endpointheaders::RequestId, question_.requestId_ } } };
    head.headers_.emplace_back(endpointheaders::ReportedLoad, std::to_string(reportedLoad_));
    if (question_.resumeFrom_ > 0) {
        head.headers_.emplace_back(endpointheaders::ResumeFrom, std::to_string(question_.resumeFrom_));
    }
    return head;
}

void EngineAnswer::end()
{
    isEnded_ = true;
    if (!question_.isStreamed_) {
        responder_->reply(head("application/json"), wholeBody());
        return;
    }
    // The event with the reason of the end counts as the one after the last token.
    if (produced_ == question_.wantedTokens_) {
        responder_->sendChunk(eventFor({}, "stop"));
    }
    responder_->sendChunk("data: [DONE]\n\n");
    responder_->endChunks();
}

std::string EngineAnswer::tokenText(std::uint32_t index) const
{
    return question_.word_ + std::to_string(index) + " ";
}

std::string EngineAnswer::eventFor(const std::string &text, const char *finishReason) const
{
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", finishReason == nullptr ? nlohmann::json() : nlohmann::json(finishReason) } };
    if (question_.isChat_) {
        choice["delta"] = text.empty() ? nlohmann::json::object() : nlohmann::json{ { "content", text } };
    } else {
        choice["text"] = text;
    }
    const nlohmann::json event = {
        { "id", "chatcmpl-" + question_.requestId_ },
        { "object", question_.isChat_ ? "chat.completion.chunk" : "text_completion" },
        { "created", 0 },
        { "model", question_.model_ },
        { "choices", nlohmann::json::array({ choice }) },
    };
    return "data: " + event.dump() + "\n\n";
}

std::string EngineAnswer::wholeBody() const
{
    std::string text;
    for (std::uint32_t index = 0; index < question_.wantedTokens_; ++index) {
        text += tokenText(index);
    }
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
    if (question_.isChat_) {
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    } else {
        choice["text"] = text;
    }
    const nlohmann::json body = {
        { "id", "chatcmpl-" + question_.requestId_ },
        { "object", question_.isChat_ ? "chat.completion" : "text_completion" },
        { "created", 0 },
        { "model", question_.model_ },
        { "choices", nlohmann::json::array({ choice }) },
        { "usage",
          { { "prompt_tokens", question_.promptTokens_ },
            { "completion_tokens", question_.wantedTokens_ },
            { "total_tokens", question_.promptTokens_ + question_.wantedTokens_ } } },
    };
    return body.dump();
}

} // namespace cowsliphead
