#include "decide/scaling/scaleneed.h"

#include <algorithm>
#include <cmath>

namespace cowsliphead
{

namespace
{

/// How long a value counts for the highest one.
constexpr std::chrono::milliseconds Window{ 10000 };

/// Without a report for this long, the load is unknown. Relays report every 100 to 250 ms.
constexpr std::chrono::milliseconds ReportLifetime{ 2000 };

/// Time constant of the mean that is taken of the reported loads; a single report counts few engines and scatters by their square root.
constexpr std::chrono::duration<double> SmoothingTime{ 1.0 };

/// Share of the capacity that the need uses. Bursts reach 2.4 times the mean within a second, before an endpoint can start, and then use 1.08
/// of the capacity for the mean; the highest value of the last 10 s lies above the mean by more than the difference.
constexpr double TargetUtilization = 0.45;

/// Growth counts only above this part of the load; smaller differences are scatter, and their extrapolation made the plan oscillate.
constexpr double MinGrowth = 0.1;

/// Upper limit of a need, so that it can be converted to an integer.
constexpr double MaxEndpoints = 1e6;

ScaleLoad smoothed(const ScaleLoad &last, const ScaleLoad &load, std::chrono::duration<double> elapsed)
{
    const double weight = 1.0 - std::exp(-elapsed / SmoothingTime);
    return { last.decode_ + weight * (load.decode_ - last.decode_), last.prefill_ + weight * (load.prefill_ - last.prefill_) };
}

} // namespace

void ScaleNeed::add(const ScaleLoad &load, MonotonicTime now)
{
    if (samples_.empty() || now - samples_.back().at_ > ReportLifetime) {
        // The first report after a gap must not lower the need that was known before it.
        reportedSince_ = now;
        samples_.push_back({ now, load });
        return;
    }
    samples_.push_back({ now, smoothed(samples_.back().load_, load, now - samples_.back().at_) });
    while (now - samples_.front().at_ > Window) {
        samples_.pop_front();
    }
}

std::optional<ScaleLoad> ScaleNeed::expected(std::chrono::milliseconds bootTime, MonotonicTime now) const
{
    if (samples_.empty() || now - samples_.back().at_ > ReportLifetime) {
        return std::nullopt;
    }
    ScaleLoad highest;
    for (const auto &sample : samples_) {
        highest.decode_ = std::max(highest.decode_, sample.load_.decode_);
        highest.prefill_ = std::max(highest.prefill_, sample.load_.prefill_);
    }
    const auto perSecond = growth(now);
    const double seconds = std::chrono::duration<double>(bootTime).count();
    return ScaleLoad{ highest.decode_ + seconds * perSecond.decode_, highest.prefill_ + seconds * perSecond.prefill_ };
}

bool ScaleNeed::isCovered(MonotonicTime now) const
{
    return !samples_.empty() && now - samples_.back().at_ <= ReportLifetime && now - reportedSince_ >= Window;
}

ScaleLoad ScaleNeed::growth(MonotonicTime now) const
{
    if (!isCovered(now)) {
        return {};
    }
    struct Half {
        ScaleLoad sum_;
        double count_ = 0;
    };
    Half older;
    Half newer;
    for (const auto &sample : samples_) {
        auto &half = now - sample.at_ > Window / 2 ? older : newer;
        half.sum_.decode_ += sample.load_.decode_;
        half.sum_.prefill_ += sample.load_.prefill_;
        ++half.count_;
    }
    if (older.count_ == 0 || newer.count_ == 0) {
        return {};
    }
    const double distance = std::chrono::duration<double>(Window / 2).count();
    const auto rise = [&](double before, double after) {
        const double from = before / older.count_;
        const double to = after / newer.count_;
        return to > from * (1.0 + MinGrowth) ? (to - from) / distance : 0.0;
    };
    return { rise(older.sum_.decode_, newer.sum_.decode_), rise(older.sum_.prefill_, newer.sum_.prefill_) };
}

std::uint32_t endpointsNeeded(const ScaleLoad &load, const StageCounts &present)
{
    const double total = present.prefill_ + present.decode_;
    const auto needed = [total](double engines, std::uint32_t ofStage) { return ofStage > 0 ? engines / TargetUtilization * total / ofStage : 0.0; };
    const double endpoints = std::max(needed(load.decode_, present.decode_), needed(load.prefill_, present.prefill_));
    return static_cast<std::uint32_t>(std::ceil(std::min(endpoints, MaxEndpoints)));
}

} // namespace cowsliphead
