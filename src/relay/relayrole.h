#pragma once

namespace cowsliphead
{

/// Where a gateway gets the state of the fleet from.
enum class RelayRole {
    Undecided, ///< It has just started and does not know its failure domain's relay.
    Member, ///< It asks the relay of its failure domain.
    Relay, ///< It reads the store and answers the gateways of its failure domain.
};

} // namespace cowsliphead
