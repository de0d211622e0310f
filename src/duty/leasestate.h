#pragma once

namespace cowsliphead
{

/// Progress of a process in acquiring a duty.
enum class LeaseState {
    Idle, ///< No lease is held.
    Acquiring, ///< Calls to acquire the lease are under way.
    Waiting, ///< The lease is held; actions of the previous holder may still be under way.
    Holding, ///< The duty is held.
};

} // namespace cowsliphead
