#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "decide/usagefigures.h"

namespace cowsliphead
{

/// Counts the tokens of one completion as its answer is passed on. Counts that the engine states go before what was seen.
class UsageMeter
{
public:
    /// Assumes the prompt's tokens from the length of the request until the engine states them. Thread safety: owner task only.
    void begin(std::size_t requestBytes);

    /// Part of a streamed answer that was passed on; it may end within an event. Thread safety: owner task only.
    void addStreamedData(std::string_view data);

    /// A whole answer that was passed on. Thread safety: owner task only.
    void addWholeAnswer(const std::string &body);

    /// True once any of the answer was passed on. Thread safety: owner task only.
    bool hasForwardedData() const;

    /// The figures of the request as it stands. Thread safety: owner task only.
    UsageFigures figures(bool isCutOff) const;

private:
    void takeLine(std::string_view line);
    void takeStated(std::string_view document);

    std::string unfinishedLine_;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t answerTokens_ = 0;
    bool isStated_ = false;
    bool hasPassedOn_ = false;
};

} // namespace cowsliphead
