#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/httpresponsehead.h"
#include "standin/enginerequest.h"

namespace cowsliphead
{

class HttpResponder;

/// The answer to one completion request: produces one token in each step of the batch, then ends. Thread safety: the loop's task only.
class EngineAnswer
{
public:
    /// reportedLoad is sent in a header of the answer.
    EngineAnswer(EngineRequest request, std::uint32_t reportedLoad, std::shared_ptr<HttpResponder> responder);
    ~EngineAnswer();

    /// Sends the head of a streamed answer. onCancelled is called once if the client disconnects.
    void start(std::function<void()> onCancelled);

    /// Produces the next token, or ends the answer after the last one. Precondition: isEnded() is false.
    void advance();

    /// True once the answer is complete or its client has disconnected.
    bool isEnded() const;

    /// Produces nothing in the given number of steps.
    void delay(std::uint32_t steps);

    /// Sends nothing more after the given number of tokens of this attempt, and leaves the connection open.
    void stopSendingAfter(std::uint32_t tokens);

    /// Ends the streamed answer after its first token, without the final event.
    void truncate();

    /// KV cache that the answer occupies, in pieces of enginepieces::PieceTokens.
    std::uint32_t kvPieces() const;

    const EngineRequest &request() const;

private:
    HttpResponseHead head(const char *contentType) const;
    void end();
    std::string tokenText(std::uint32_t index) const;
    std::string encodeEvent(const std::string &text, const char *finishReason) const;
    std::string wholeBody() const;

    EngineRequest request_;
    std::uint32_t reportedLoad_;
    std::shared_ptr<HttpResponder> responder_;
    std::function<void()> onCancelled_;

    /// Includes the tokens that earlier attempts produced.
    std::uint32_t producedTokens_ = 0;
    std::uint32_t delayedSteps_ = 0;
    std::optional<std::uint32_t> tokensUntilSilence_;
    bool isTruncated_ = false;
    bool isEnded_ = false;
};

} // namespace cowsliphead
