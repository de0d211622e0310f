#include "metrics/durationhistogram.h"

#include <utility>

#include "metrics/metrictext.h"

namespace cowsliphead
{

namespace
{

constexpr unsigned BucketCount = 60;
constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 100.0;

std::uint64_t toCount(double cell)
{
    return static_cast<std::uint64_t>(cell);
}

} // namespace

DurationHistogram::DurationHistogram(std::string name, std::string help)
    : name_(std::move(name))
    , help_(std::move(help))
    , histogram_(boost::histogram::make_histogram(Axis(BucketCount, MinSeconds, MaxSeconds)))
{
}

void DurationHistogram::record(std::chrono::nanoseconds duration)
{
    histogram_(std::chrono::duration<double>(duration).count());
    sum_ += duration;
    ++count_;
}

std::uint64_t DurationHistogram::count() const
{
    return count_;
}

std::chrono::nanoseconds DurationHistogram::quantile(double fraction) const
{
    const auto rank = fraction * static_cast<double>(count_);
    double cumulativeCount = histogram_.at(-1);
    double upperBound = MinSeconds;
    for (const auto &cell : boost::histogram::indexed(histogram_)) {
        if (cumulativeCount >= rank) {
            break;
        }
        cumulativeCount += *cell;
        upperBound = cell.bin().upper();
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(upperBound));
}

std::string DurationHistogram::toText() const
{
    auto text = metricHeader(name_, help_, "histogram");
    std::uint64_t cumulativeCount = toCount(histogram_.at(-1));
    for (const auto &cell : boost::histogram::indexed(histogram_)) {
        cumulativeCount += toCount(*cell);
        text += name_ + "_bucket{le=\"" + std::to_string(cell.bin().upper()) + "\"} " + std::to_string(cumulativeCount) + "\n";
    }
    text += name_ + "_bucket{le=\"+Inf\"} " + std::to_string(count_) + "\n";
    text += name_ + "_sum " + std::to_string(std::chrono::duration<double>(sum_).count()) + "\n";
    text += name_ + "_count " + std::to_string(count_) + "\n";
    return text;
}

} // namespace cowsliphead
