#include "bench/linearfit.h"

#include "bench/fitpoint.h"

namespace cowsliphead
{

namespace
{

FitPoint meanOf(std::span<const FitPoint> points)
{
    FitPoint mean;
    const auto count = static_cast<double>(points.size());
    for (const auto &point : points) {
        mean.size_ += point.size_ / count;
        mean.value_ += point.value_ / count;
    }
    return mean;
}

} // namespace

LinearFit fitLine(std::span<const FitPoint> points)
{
    const auto mean = meanOf(points);
    double sizeVariance = 0;
    double valueVariance = 0;
    double covariance = 0;
    for (const auto &point : points) {
        const double size = point.size_ - mean.size_;
        const double value = point.value_ - mean.value_;
        sizeVariance += size * size;
        valueVariance += value * value;
        covariance += size * value;
    }
    LinearFit fit;
    fit.slope_ = sizeVariance > 0 ? covariance / sizeVariance : 0;
    fit.intercept_ = mean.value_ - fit.slope_ * mean.size_;
    fit.determination_ = sizeVariance > 0 && valueVariance > 0 ? covariance * covariance / (sizeVariance * valueVariance) : 1;
    return fit;
}

} // namespace cowsliphead
