#pragma once

namespace cowsliphead
{

/// How far a daemon has come in taking a duty.
enum class LeaseState {
    Idle, ///< It holds no lease.
    Asking, ///< It waits for the store's answer.
    Waiting, ///< It has the lease and leaves its predecessor the time to end.
    Holding, ///< It has the duty.
};

} // namespace cowsliphead
