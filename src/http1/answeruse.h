#pragma once

namespace cowsliphead
{

/// How the rest of an answer is handled, decided by the receiver of its head.
enum class AnswerUse {
    Take,
    Skip, ///< The answer belongs to another request; the awaited one follows on the same connection.
};

} // namespace cowsliphead
