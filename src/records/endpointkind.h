#pragma once

namespace cowsliphead
{

/// Whether an endpoint is an inference engine or a plain service.
enum class EndpointKind {
    Engine,
    Service,
};

} // namespace cowsliphead
