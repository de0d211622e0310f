#pragma once

namespace cowsliphead
{

/// The stage of inference that an engine runs.
enum class EngineStage {
    None, ///< The endpoint is not an engine.
    Prefill,
    Decode,
};

} // namespace cowsliphead
