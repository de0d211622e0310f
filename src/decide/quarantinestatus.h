#pragma once

namespace cowsliphead
{

/// Whether a request is suspected of crashing endpoints.
enum class QuarantineStatus {
    Trusted,

    /// It was in flight on several endpoints when they crashed: it is run alone on an endpoint.
    Suspect,

    /// It crashed an endpoint on which it ran alone: it is refused.
    Quarantined,
};

} // namespace cowsliphead
