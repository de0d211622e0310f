#pragma once

namespace cowsliphead
{

/// Which connection a call may go over.
enum class ConnectionChoice {
    /// An idle one if there is any.
    Any,

    /// A new one, which nothing between the two ends can have lost track of.
    Fresh,
};

} // namespace cowsliphead
