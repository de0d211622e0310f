#pragma once

namespace cowsliphead
{

/// What the crashes around a request say of it.
enum class QuarantineStatus {
    Trusted,

    /// It was in flight on several endpoints when they crashed: it is tried alone.
    Suspect,

    /// It crashed an endpoint that it had for itself: it is refused.
    Quarantined,
};

} // namespace cowsliphead
