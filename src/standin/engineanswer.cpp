#include "standin/engineanswer.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "endpoint/endpointheaders.h"
#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t CharactersPerToken = 4;

std::uint32_t countPromptTokens(const HttpRequest &request)
{
    return static_cast<std::uint32_t>(1 + request.body_.size() / CharactersPerToken);
}

HttpResponseHead headFor(const std::string &requestId, const char *contentType)
{
    return { httpstatus::Ok, { { "Content-Type", contentType }, { endpointheaders::RequestId, requestId } } };
}

} // namespace

EngineAnswer::EngineAnswer(EventLoop &loop, const EngineOptions &options, std::shared_ptr<HttpResponder> responder, std::function<void()> onEnd)
    : options_(options)
    , responder_(std::move(responder))
    , onEnd_(std::move(onEnd))
    , timer_(loop, [this] { produceToken(); })
{
}

EngineAnswer::~EngineAnswer() = default;

void EngineAnswer::start(const HttpRequest &request)
{
    const auto question = nlohmann::json::parse(request.body_, nullptr, false);
    if (!question.is_object()) {
        responder_->reply(HttpResponseHead{ httpstatus::BadRequest, {} }, R"({"error":{"message":"no JSON object"}})");
        onEnd_();
        return;
    }
    requestId_ = headerValue(request.headers_, endpointheaders::RequestId);
    const auto resumeFrom = headerValue(request.headers_, endpointheaders::ResumeFrom);
    firstToken_ = resumeFrom.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(resumeFrom));
    model_ = question.value("model", options_.model_);
    isChat_ = request.path_.find("chat") != std::string::npos;
    isStreamed_ = question.value("stream", false);
    wantedTokens_ = question.value("max_tokens", options_.defaultTokens_);
    promptTokens_ = countPromptTokens(request);
    producedTokens_ = firstToken_;
    responder_->onClientLeft([this] { finish(); });
    if (isStreamed_) {
        responder_->startChunks(headFor(requestId_, "text/event-stream"));
    }
    timer_.startOnce(options_.prefillTimePerToken_ * promptTokens_ + options_.decodeTimePerToken_);
}

void EngineAnswer::produceToken()
{
    if (producedTokens_ < wantedTokens_) {
        if (isStreamed_) {
            responder_->sendChunk(eventFor(tokenText(producedTokens_), nullptr));
        }
        ++producedTokens_;
        timer_.startOnce(options_.decodeTimePerToken_);
        return;
    }
    if (isStreamed_) {
        responder_->sendChunk(eventFor({}, "stop"));
        responder_->sendChunk("data: [DONE]\n\n");
        responder_->endChunks();
    } else {
        responder_->reply(headFor(requestId_, "application/json"), wholeBody());
    }
    finish();
}

void EngineAnswer::finish()
{
    timer_.cancel();
    const auto onEnd = std::move(onEnd_);
    onEnd();
}

std::string EngineAnswer::tokenText(std::uint32_t index) const
{
    return "token" + std::to_string(index) + " ";
}

std::string EngineAnswer::eventFor(const std::string &text, const char *finishReason) const
{
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", finishReason == nullptr ? nlohmann::json() : nlohmann::json(finishReason) } };
    if (isChat_) {
        choice["delta"] = text.empty() ? nlohmann::json::object() : nlohmann::json{ { "content", text } };
    } else {
        choice["text"] = text;
    }
    const nlohmann::json event = {
        { "id", "chatcmpl-" + requestId_ },
        { "object", isChat_ ? "chat.completion.chunk" : "text_completion" },
        { "created", 0 },
        { "model", model_ },
        { "choices", nlohmann::json::array({ choice }) },
    };
    return "data: " + event.dump() + "\n\n";
}

std::string EngineAnswer::wholeBody() const
{
    std::string text;
    for (std::uint32_t index = 0; index < wantedTokens_; ++index) {
        text += tokenText(index);
    }
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
    if (isChat_) {
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    } else {
        choice["text"] = text;
    }
    const nlohmann::json body = {
        { "id", "chatcmpl-" + requestId_ },
        { "object", isChat_ ? "chat.completion" : "text_completion" },
        { "created", 0 },
        { "model", model_ },
        { "choices", nlohmann::json::array({ choice }) },
        { "usage", { { "prompt_tokens", promptTokens_ }, { "completion_tokens", wantedTokens_ }, { "total_tokens", promptTokens_ + wantedTokens_ } } },
    };
    return body.dump();
}

} // namespace cowsliphead
