#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>

#include "core/requestdigest.h"
#include "gateway/attemptresult.h"
#include "gateway/dispatchplan.h"
#include "gateway/promptpart.h"

namespace cowsliphead::requestlog
{

/// Fields of the log line at the end of a request. Thread safety: any thread.
struct Summary {
    std::string request_{};
    std::string route_{};
    std::string account_{};
    std::string service_{};
    std::string endpoint_{};
    int status_ = 0;
    const char *reason_ = "";
    std::uint32_t dispatches_ = 0;
    std::uint32_t arrivals_ = 0;
    std::uint32_t runs_ = 0;
    std::uint32_t maxRuns_ = 0;
    bool mayHaveRun_ = false;
    std::chrono::milliseconds timeLeft_{ 0 };
    std::chrono::milliseconds elapsed_{ 0 };
    std::uint64_t configuration_ = 0;

    /// Empty if it was not needed.
    RequestDigest digest_{};

    /// The part of the prompt, or the digest, for which the request was not dispatched. Empty if it was.
    std::string culprit_{};
    std::chrono::milliseconds configurationAge_{ 0 };
};

/// Logs the end of a request.
void ended(const Summary &summary);

/// Logs a dispatch that gave no response to forward. digest: of the request, if the endpoint closed the connection; it links the attempts
/// of a request that crashes endpoints. parts: of the prompt, those that other requests may share; they link different requests that do.
void dispatchEnded(
    const DispatchPlan &plan, const AttemptResult &result, std::chrono::milliseconds elapsed, const RequestDigest &digest, std::span<const PromptPart> parts);

/// Logs that an engine has read a prompt. sharedParts: identifies the prompt's shared parts.
void promptRead(const DispatchPlan &plan, const std::string &sharedParts, std::uint64_t sharedTokens, std::chrono::milliseconds duration);

} // namespace cowsliphead::requestlog
