#pragma once

#include <string>

#include "duty/ledgerreporter.h"
#include "duty/simulatedplatform.h"
#include "duty/simulatedstore.h"
#include "duty/skewedclock.h"
#include "usage/usagewriter.h"

namespace cowsliphead
{

/// Simulated daemon that counts usage and is a candidate for the reporter's duty.
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

    const LedgerReporter<SimulatedStore, SkewedClock, PlatformLink> &reporter() const
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
        writer_.handle(last_);
    }

    void recordLastAgain()
    {
        if (sequence_ > 0) {
            writer_.handle(last_);
        }
    }

    const UsageSums &counted() const
    {
        return counted_;
    }

    /// Runs one turn. The reply to a call made in it arrives in a later turn, so the daemon can be paused in between.
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

    static LedgerReporterSettings reporterSettings()
    {
        LedgerReporterSettings settings;
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
    LedgerReporter<SimulatedStore, SkewedClock, PlatformLink> reporter_;
    UsageSums counted_;
    UsageEntry last_;
    std::uint64_t sequence_ = 0;
    bool isPaused_ = false;
};

} // namespace cowsliphead
