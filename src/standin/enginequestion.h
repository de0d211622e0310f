#pragma once

#include <cstdint>
#include <string>

#include "core/result.h"

namespace cowsliphead
{

struct HttpRequest;
struct EngineOptions;

/// A completion request as an engine stand-in understands it.
struct EngineQuestion {
    std::string requestId_;
    std::string model_;

    /// The text of each token but its number.
    std::string word_ = "token";
    std::string body_;
    bool isChat_ = true;
    bool isStreamed_ = false;
    std::uint32_t promptTokens_ = 0;
    std::uint32_t wantedTokens_ = 0;

    /// Events that the caller has already.
    std::uint32_t resumeFrom_ = 0;

    /// The higher one goes first.
    std::uint32_t priority_ = 0;
};

/// Errors: RequestMalformed. Thread safety: any thread.
Result<EngineQuestion> readEngineQuestion(const HttpRequest &request, const EngineOptions &options);

} // namespace cowsliphead
