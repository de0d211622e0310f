#pragma once

namespace cowsliphead
{

/// The state of a claimed request in the store. The values are stored and must not change.
enum class ClaimState {
    Claimed = 1, ///< It may be running, or may have run.
    Completed = 2, ///< It ran, and its owner received the complete response.
    Released = 3, ///< No part of it ran; a later submission may claim the key.
};

} // namespace cowsliphead
