#pragma once

namespace cowsliphead
{

/// A value measured at one size.
struct FitPoint {
    double size_ = 0;
    double value_ = 0;
};

} // namespace cowsliphead
