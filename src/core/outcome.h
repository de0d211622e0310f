#pragma once

namespace cowsliphead
{

/// What is known about a request once it has ended.
enum class Outcome {
    Run, ///< It ran, and the caller has the complete response.
    NotRun, ///< It is certain that no endpoint ran any part of it.
    Unknown, ///< It may have run; the caller has no complete response.
};

/// The value of the Cowsliphead-Outcome header. Thread safety: any thread.
const char *outcomeName(Outcome outcome) noexcept;

} // namespace cowsliphead
