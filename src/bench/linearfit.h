#pragma once

#include <span>

namespace cowsliphead
{

struct FitPoint;

/// A straight line fitted to measured points by least squares.
struct LinearFit {
    /// Change of the measured value per unit of size.
    double slope_ = 0;

    /// The value at size zero.
    double intercept_ = 0;

    /// Coefficient of determination: the fraction of the values' variance that the line explains; 1 if all points lie on it.
    double determination_ = 0;
};

/// Precondition: at least two points have different sizes; otherwise the slope is zero. Thread safety: any thread.
LinearFit fitLine(std::span<const FitPoint> points);

} // namespace cowsliphead
