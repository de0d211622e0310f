#pragma once

namespace cowsliphead
{

/// What an engine does for a request.
enum class EngineStage {
    None, ///< The endpoint is a plain service.
    Prefill,
    Decode,
};

} // namespace cowsliphead
