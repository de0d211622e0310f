#pragma once

namespace cowsliphead
{

/// How one dispatch of a request to an endpoint ended.
enum class AttemptEnd {
    Answered, ///< A whole answer that is passed on: success, or a failure of the caller's making.
    Failed, ///< A whole answer with a failure of the endpoint; the request has run.
    NotExecuted, ///< The endpoint says that it has not run the request.
    NotOffered, ///< No byte of the request was written.
    Lost, ///< The request was written and no whole answer came; it may have run.
};

/// For logs. Thread safety: any thread.
constexpr const char *attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::Failed:
        return "failed";
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
