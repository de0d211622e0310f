#pragma once

namespace cowsliphead
{

/// What stands behind an endpoint's address.
enum class EndpointKind {
    Engine,
    Service,
};

} // namespace cowsliphead
