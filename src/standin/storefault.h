#pragma once

namespace cowsliphead
{

/// How the store stand-in misbehaves.
enum class StoreFault {
    None,
    Down, ///< Connections are closed without an answer, and nothing takes effect.
    Slow, ///< Every answer waits for the delay.
    LoseAnswers, ///< Writes take effect, and their answers are lost.
};

} // namespace cowsliphead
