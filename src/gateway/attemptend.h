#pragma once

namespace cowsliphead
{

/// How one dispatch of a request to an endpoint ended.
enum class AttemptEnd {
    Answered, ///< A complete response to forward: a success, or an error caused by the caller.
    Failed, ///< A complete response with a server error; the request has run.
    Unproven, ///< A complete response that looks like a refusal without stating that the request has not run; it may have run.
    NotExecuted, ///< The endpoint responded that it has not run the request.
    NotOffered, ///< No byte of the request was written.
    Lost, ///< The request was written without a complete response; it may have run.
};

/// For logs. Thread safety: any thread.
constexpr const char *attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Failed:
        return "failed";
    case AttemptEnd::Unproven:
        return "unproven";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::NotOffered:
        return "not_offered";
    case AttemptEnd::Lost:
        break;
    }
    return "lost";
}

} // namespace cowsliphead
