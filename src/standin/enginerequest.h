#pragma once

#include <cstdint>
#include <string>

#include "core/result.h"

namespace cowsliphead
{

struct HttpRequest;
struct EngineOptions;

/// A parsed completion request to an engine stand-in.
struct EngineRequest {
    std::string requestId_;
    std::string model_;

    /// The text of each token, followed in the answer by the token's number.
    std::string tokenText_ = "token";
    std::string body_;
    bool isChat_ = true;
    bool isStreamed_ = false;
    std::uint32_t promptTokens_ = 0;
    std::uint32_t requestedTokens_ = 0;

    /// Number of events that the caller has received already; the answer resumes after them.
    std::uint32_t resumeFrom_ = 0;

    /// Requests with a higher priority are admitted first.
    std::uint32_t priority_ = 0;
};

/// Parses a completion request. Errors: RequestMalformed. Thread safety: any thread.
Result<EngineRequest> readEngineRequest(const HttpRequest &request, const EngineOptions &options);

} // namespace cowsliphead
