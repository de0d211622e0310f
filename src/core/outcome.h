#pragma once

namespace cowsliphead
{

/// What is known of a request once it has ended.
enum class Outcome {
    Run, ///< It ran, and the caller has the whole answer.
    NotRun, ///< Certain: no endpoint ran any of it.
    Unknown, ///< It may have run; the caller has no whole answer.
};

/// The value of the Cowsliphead-Outcome header. Thread safety: any thread.
const char *outcomeName(Outcome outcome) noexcept;

} // namespace cowsliphead
