#pragma once

namespace cowsliphead
{

/// What the receiver of a response's head does with the response.
enum class AnswerHandling {
    Accept,
    Discard, ///< It belongs to another request; the one awaited follows on the same connection.
};

} // namespace cowsliphead
