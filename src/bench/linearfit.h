#pragma once

#include <span>

namespace cowsliphead
{

struct FitPoint;

/// A straight line through measured points by least squares.
struct LinearFit {
    /// Growth of the measured value for one more of the size.
    double slope_ = 0;

    /// The value at size zero.
    double intercept_ = 0;

    /// Share of the values' variance that the line explains: 1 if all points lie on it.
    double determination_ = 0;
};

/// Precondition: at least two points whose sizes differ; otherwise the slope is zero. Thread safety: any thread.
LinearFit fitLine(std::span<const FitPoint> points);

} // namespace cowsliphead
