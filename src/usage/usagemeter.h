#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "decide/usagefigures.h"

namespace cowsliphead
{

/// Counts the tokens of one completion while its answer is forwarded. Counts reported by the engine override the counted ones. Thread
/// safety: owner task only.
class UsageMeter
{
public:
    /// Estimates the prompt tokens from the length of the request; the estimate holds until the engine reports the count.
    void begin(std::size_t requestBytes);

    /// Adds a part of a streamed answer that was forwarded; the part may end within an event.
    void addStreamedData(std::string_view data);

    /// Adds an answer that was forwarded in one piece.
    void addWholeAnswer(const std::string &body);

    /// True once any part of the answer was forwarded.
    bool hasForwardedData() const;

    /// Returns the request's usage so far.
    UsageFigures figures(bool isCutOff) const;

private:
    void processLine(std::string_view line);
    void readEngineUsage(std::string_view document);

    std::string partialLine_;
    std::uint64_t promptTokens_ = 0;
    std::uint64_t answerTokens_ = 0;
    bool isReportedByEngine_ = false;
    bool hasForwardedData_ = false;
};

} // namespace cowsliphead
