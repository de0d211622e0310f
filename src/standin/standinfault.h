#pragma once

#include <string>

namespace cowsliphead
{

/// The fault that the stand-in of the store or of the platform injects.
enum class StandinFault {
    None,
    Down, ///< Connections are closed without an answer, and nothing takes effect.
    Slow, ///< Every answer is sent after the configured delay.
    LoseAnswers, ///< Writes take effect, but their answers are not sent.
};

/// Parses the name of a fault as POST /standin/fault gives it. Returns None for an unknown name. Thread safety: any thread.
StandinFault standinFaultFromName(const std::string &name);

} // namespace cowsliphead
