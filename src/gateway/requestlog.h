#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "gateway/attemptresult.h"
#include "gateway/dispatchplan.h"

namespace cowsliphead::requestlog
{

/// What decided about a request, for the line at its end.
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
    bool mayHaveRun_ = false;
    std::chrono::milliseconds timeLeft_{ 0 };
    std::chrono::milliseconds elapsed_{ 0 };
    std::uint64_t configuration_ = 0;
    std::chrono::milliseconds configurationAge_{ 0 };
};

/// A request got its last answer. Thread safety: any thread.
void ended(const Summary &summary);

/// A dispatch gave no answer to pass on. Thread safety: any thread.
void dispatchEnded(const DispatchPlan &plan, const AttemptResult &result, std::chrono::milliseconds elapsed);

/// An engine has read a prompt, whose shared parts have that name. Thread safety: any thread.
void promptRead(const DispatchPlan &plan, const std::string &sharedParts, std::uint64_t sharedTokens, std::chrono::milliseconds taken);

} // namespace cowsliphead::requestlog
