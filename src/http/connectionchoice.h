#pragma once

namespace cowsliphead
{

/// Which connections a call may use.
enum class ConnectionChoice {
    /// An idle connection if there is one, otherwise a new one.
    Any,

    /// Always a new connection. A middlebox on the path may have dropped the state of an idle one.
    Fresh,
};

} // namespace cowsliphead
