#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "standin/engineoptions.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;
class HttpResponder;
struct HttpRequest;

/// One completion that an engine stand-in is working on.
class EngineAnswer
{
public:
    /// onEnd is called once after the last token, or when the client has left. Thread safety: the loop's task only.
    EngineAnswer(EventLoop &loop, const EngineOptions &options, std::shared_ptr<HttpResponder> responder, std::function<void()> onEnd);
    ~EngineAnswer();

    /// Reads the request and starts to work on it; a request that is no completion is refused. Thread safety: the loop's task only.
    void start(const HttpRequest &request);

private:
    void produceToken();
    void finish();
    std::string tokenText(std::uint32_t index) const;
    std::string eventFor(const std::string &text, const char *finishReason) const;
    std::string wholeBody() const;

    EngineOptions options_;
    std::shared_ptr<HttpResponder> responder_;
    std::function<void()> onEnd_;
    std::string requestId_;
    std::string model_;
    bool isChat_ = true;
    bool isStreamed_ = false;
    std::uint32_t promptTokens_ = 0;
    std::uint32_t wantedTokens_ = 0;
    std::uint32_t firstToken_ = 0;
    std::uint32_t producedTokens_ = 0;
    Timer timer_;
};

} // namespace cowsliphead
