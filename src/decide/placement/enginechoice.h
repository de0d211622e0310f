#pragma once

#include <cstddef>
#include <optional>

#include "decide/placement/expectedtime.h"

namespace cowsliphead
{

/// The engine that was chosen to read a prompt, as an index of the candidates.
struct EngineChoice {
    std::size_t engine_ = 0;

    /// The home from which the engine fetches shared parts. Nothing if it is itself the first home.
    std::optional<std::size_t> home_{};
    ExpectedTime expected_{};
};

} // namespace cowsliphead
