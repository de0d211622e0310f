#pragma once

namespace cowsliphead
{

/// What an order asks for.
enum class OrderAction {
    LoadModel, ///< An engine loads a version of a model.
    ChangeRole, ///< An engine changes between prefill and decode.
    AcquireEndpoint, ///< The platform starts an endpoint of a pool.
    ReleaseEndpoint, ///< The platform stops an endpoint of a pool.
};

} // namespace cowsliphead
