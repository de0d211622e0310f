#pragma once

namespace cowsliphead
{

/// The work of a service at one moment, as the number of engines that it would keep fully busy.
struct ScaleLoad {
    /// Slots in use at engines that stream answers, divided by the slots of an engine.
    double decode_ = 0;

    /// Engines that prefill prompts: by the law of utilisation, the tokens prefilled per second divided by the speed of an engine.
    double prefill_ = 0;

    bool operator==(const ScaleLoad &) const = default;
};

} // namespace cowsliphead
