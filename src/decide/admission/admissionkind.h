#pragma once

namespace cowsliphead
{

/// What to do with a request that is about to be sent to an endpoint.
enum class AdmissionKind {
    Send, ///< Dispatch it now.
    Wait, ///< Queue it until an endpoint has room.
    Refuse, ///< Refuse it: it would begin too late.
};

} // namespace cowsliphead
