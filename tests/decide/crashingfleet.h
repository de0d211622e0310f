#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "core/virtualclock.h"
#include "decide/crashregister.h"

/// Gateways before engines, in virtual time. One part of prompts crashes each engine that begins to answer on it; the engine is back, as
/// another incarnation, after some seconds. Gateways tell each other what they know at an interval.
class CrashingFleet
{
public:
    struct Shape {
        std::uint32_t seed_ = 1;
        std::size_t gateways_ = 7;
        std::size_t engines_ = 18;

        /// Requests in a second, and the share of them that has the deadly part.
        double rate_ = 27;
        double share_ = 0.05;

        /// Different first parts of prompts, and different middle parts of sound ones.
        std::size_t firstParts_ = 80;
        std::size_t middleParts_ = 20;

        /// Whether the deadly part comes before the parts that sound requests have too.
        bool isDeadlyFirst_ = false;

        /// Whether the requests with the deadly part all have the same other part, too.
        bool isOtherPartFixed_ = false;

        /// Longest time that an engine takes for a request.
        std::chrono::milliseconds longestRun_{ 1000 };
        std::chrono::milliseconds exchangeInterval_{ 800 };

        /// Crashes in a second that no request causes, and how many engines fail at each of them.
        double otherCrashes_ = 0;
        std::size_t enginesAtOnce_ = 1;

        /// How long the gateways' lists name the start before after an engine has started again under its identifier.
        std::chrono::milliseconds listDelay_{ 0 };
    };

    explicit CrashingFleet(const Shape &shape);

    /// Nothing crashes anything. knowsDeadlyPart: requests with the part come already.
    void warmUp(std::chrono::milliseconds time, bool knowsDeadlyPart = false);

    void run(std::chrono::milliseconds time);

    /// From now on the part crashes nothing.
    void mend();

    /// Requests with the deadly part that reached engines later than a time after the fifth crash under one.
    std::size_t deadlyArrivalsAfterFifthCrash(std::chrono::milliseconds later) const;

    std::size_t deadlyCrashes() const
    {
        return deadlyCrashes_.size();
    }

    std::size_t soundRequests() const
    {
        return soundRequests_;
    }

    /// Sound requests that were refused.
    std::size_t soundRefusals() const
    {
        return soundRefusals_;
    }

    /// The sound requests with the part that others have beside the deadly one, and how many of them were refused.
    std::size_t relatedRequests() const
    {
        return relatedRequests_;
    }

    std::size_t relatedRefusals() const
    {
        return relatedRefusals_;
    }

    /// True if each gateway refuses requests with the deadly part.
    bool isDeadlyPartRefused();

private:
    struct Run {
        std::size_t gateway_ = 0;
        cowsliphead::CrashSuspects suspects_;

        /// When the connection was opened.
        cowsliphead::MonotonicTime openedAt_;
        cowsliphead::MonotonicTime writtenAt_;
        cowsliphead::MonotonicTime endsAt_;
        bool isDeadly_ = false;
    };

    struct Engine {
        std::uint64_t incarnation_ = 0;

        /// The start that the lists name until listedAt_.
        std::uint64_t incarnationBefore_ = 0;
        cowsliphead::MonotonicTime listedAt_;
        cowsliphead::MonotonicTime backAt_;
        std::vector<Run> runs_;
    };

    void step();
    void send(bool isDeadly);
    void finishRuns(Engine &engine);
    void crash(Engine &engine);
    cowsliphead::IncarnationKey listedStart(const Engine &engine) const;
    void exchange();
    std::vector<cowsliphead::SuspectKey> partsOf(bool isDeadly);
    bool isNow(double perSecond);
    std::size_t pick(std::size_t count);

    Shape shape_;
    std::mt19937 random_;
    cowsliphead::VirtualClock clock_;
    std::vector<cowsliphead::CrashRegister> gateways_;
    std::vector<Engine> engines_;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t lastRequest_ = 0;
    bool hasDeadlyPart_ = true;
    bool isMended_ = false;
    cowsliphead::MonotonicTime exchangedAt_;
    std::vector<cowsliphead::MonotonicTime> deadlyCrashes_;
    std::vector<cowsliphead::MonotonicTime> deadlyArrivals_;
    std::size_t soundRequests_ = 0;
    std::size_t soundRefusals_ = 0;
    std::size_t relatedRequests_ = 0;
    std::size_t relatedRefusals_ = 0;
};
