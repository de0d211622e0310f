#pragma once

#include <string>

namespace cowsliphead
{

/// How the stand-in of the store or of the platform misbehaves.
enum class StandinFault {
    None,
    Down, ///< Connections are closed without an answer, and nothing takes effect.
    Slow, ///< Every answer waits for the delay.
    LoseAnswers, ///< Writes take effect, and their answers are lost.
};

/// None for an unknown name. Thread safety: any thread.
StandinFault faultFromName(const std::string &name);

} // namespace cowsliphead
