#pragma once

namespace cowsliphead
{

/// How far a claimed request has come, as the store knows it. The values are stable: the store keeps them.
enum class ClaimState {
    Claimed = 1, ///< It may be running, or may have run.
    Completed = 2, ///< It ran, and its owner had the whole answer.
    Released = 3, ///< It ran nothing; the key may be claimed by a later sending.
};

} // namespace cowsliphead
