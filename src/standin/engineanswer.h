#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/httpresponsehead.h"
#include "standin/enginequestion.h"

namespace cowsliphead
{

class HttpResponder;

/// One completion that an engine stand-in is working on: a token a step, then the end.
class EngineAnswer
{
public:
    /// reportedLoad goes out with the answer's head. Thread safety: the loop's task only.
    EngineAnswer(EngineQuestion question, std::uint32_t reportedLoad, std::shared_ptr<HttpResponder> responder);
    ~EngineAnswer();

    /// Sends the head of a streamed answer; onCancelled is called once if the client leaves. Thread safety: the loop's task only.
    void start(std::function<void()> onCancelled);

    /// Gives one more token, or the end. Precondition: isEnded() is false. Thread safety: the loop's task only.
    void advance();

    /// True once the answer is whole, or nobody wants it any more. Thread safety: the loop's task only.
    bool isEnded() const;

    /// Produces nothing in so many steps to come. Thread safety: the loop's task only.
    void delay(std::uint32_t steps);

    /// Falls silent for good after so many tokens of this attempt. Thread safety: the loop's task only.
    void fallSilentAfter(std::uint32_t tokens);

    /// Ends the streamed answer after its first token without the event that ends it. Thread safety: the loop's task only.
    void truncate();

    /// KV cache that the answer takes up, in pieces. Thread safety: the loop's task only.
    std::uint32_t kvPieces() const;

    /// Thread safety: the loop's task only.
    const EngineQuestion &question() const;

private:
    HttpResponseHead head(const char *contentType) const;
    void end();
    std::string tokenText(std::uint32_t index) const;
    std::string eventFor(const std::string &text, const char *finishReason) const;
    std::string wholeBody() const;

    EngineQuestion question_;
    std::uint32_t reportedLoad_;
    std::shared_ptr<HttpResponder> responder_;
    std::function<void()> onCancelled_;

    /// Events so far, those of the attempts before included.
    std::uint32_t produced_ = 0;
    std::uint32_t delayedSteps_ = 0;
    std::optional<std::uint32_t> tokensUntilSilence_;
    bool isTruncated_ = false;
    bool isEnded_ = false;
};

} // namespace cowsliphead
