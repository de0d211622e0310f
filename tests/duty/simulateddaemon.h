#pragma once

#include <string>

#include "duty/reporter.h"
#include "duty/simulatedplatform.h"
#include "duty/simulatedstore.h"
#include "duty/skewedclock.h"
#include "usage/usagewriter.h"

namespace cowsliphead
{

/// A daemon as the proofs see it: it counts usage and is a candidate for the reporter's duty.
class SimulatedDaemon
{
public:
    static constexpr std::chrono::milliseconds WindowLength{ 10000 };

    SimulatedDaemon(MemoryStore &store, const VirtualClock &clock, SimulatedPlatform &platform, const std::string &incarnation, int number)
        : clock_(clock, 1.0 + RateStep * number)
        , store_(store, clock)
        , platform_(platform, LatencyStep * number)
        , writer_(store_, clock_, writerSettings(incarnation))
        , reporter_(store_, clock_, platform_, reporterSettings(), LeasePolicy(), incarnation)
    {
    }

    SimulatedStore &store()
    {
        return store_;
    }

    const Reporter<SimulatedStore, SkewedClock, PlatformLink> &reporter() const
    {
        return reporter_;
    }

    const UsageWriter<SimulatedStore, SkewedClock> &writer() const
    {
        return writer_;
    }

    void count(const UsageSubject &subject, const UsageFigures &figures)
    {
        last_ = { ++sequence_, subject, figures };
        counted_[subject] += figures;
        writer_.take(last_);
    }

    void handInAgain()
    {
        if (sequence_ > 0) {
            writer_.take(last_);
        }
    }

    const UsageSums &counted() const
    {
        return counted_;
    }

    /// Takes one turn, so that a pause can come between any answer and the next.
    void run()
    {
        if (isPaused_) {
            return;
        }
        store_.deliver();
        platform_.deliver();
        writer_.flush();
        reporter_.tick();
    }

    void setPaused(bool isPaused)
    {
        isPaused_ = isPaused;
    }

private:
    static constexpr double RateStep = 0.002;
    static constexpr std::chrono::milliseconds LatencyStep{ 500 };

    static UsageWriterSettings writerSettings(const std::string &incarnation)
    {
        UsageWriterSettings settings;
        settings.incarnation_ = incarnation;
        settings.windowLength_ = WindowLength;
        settings.unconfirmedWriteTimeout_ = 3 * WindowLength;
        return settings;
    }

    static ReporterSettings reporterSettings()
    {
        ReporterSettings settings;
        settings.windowLength_ = WindowLength;
        settings.sealDelay_ = std::chrono::seconds(2);
        settings.freezeAfter_ = 2;
        settings.eraseAfter_ = 6;
        return settings;
    }

    SkewedClock clock_;
    SimulatedStore store_;
    PlatformLink platform_;
    UsageWriter<SimulatedStore, SkewedClock> writer_;
    Reporter<SimulatedStore, SkewedClock, PlatformLink> reporter_;
    UsageSums counted_;
    UsageEntry last_;
    std::uint64_t sequence_ = 0;
    bool isPaused_ = false;
};

} // namespace cowsliphead
