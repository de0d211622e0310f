#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <concepts>
#include <cstddef>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <vector>

#include "decide/placement/promptfacts.h"
#include "decide/replayengine.h"

namespace cowsliphead
{

/// Where a prompt of a replay is read and answered, as indexes.
struct ReplayChoice {
    std::size_t reader_ = 0;
    std::size_t answerer_ = 0;
    std::optional<std::size_t> sourceReader_{};
    std::optional<std::size_t> sourceAnswerer_{};
};

constexpr std::size_t ReplayGateways = 59;

using Candidates = std::vector<EngineCandidate>;

/// The rules that a replay runs.
template <typename R>
concept ReplayRules = requires(R rules, const PromptFacts &prompt, std::size_t gateway, const Candidates &engines, MonotonicTime now)
{
    {
        rules.choose(prompt, gateway, engines, engines, now)
        } -> std::same_as<ReplayChoice>;
};

struct ReplayOptions {
    /// Share of the requests that have the same shared parts; the popularity of the others falls with the square root of their rank.
    double hotShare_ = 0;

    /// How much the requests increase in the third ten seconds.
    double burstFactor_ = 1;

    /// The engines of a failure domain leave within the third three seconds of the second half minute.
    bool losesDomain_ = false;
};

struct ReplayResult {
    /// Share of the prompts that were read within the target latency.
    double inTime_ = 0;

    /// The same for the prompts that arrived in the third ten seconds.
    double inTimeOfTrouble_ = 0;

    /// Tokens that the busiest engine read, divided by the mean.
    double busiest_ = 0;
    std::uint64_t tokensRead_ = 0;
};

/// 59 gateways place 113 long prompts a second with 1,215 different shared parts at 48 engines that read and 64 that answer.
template <ReplayRules R>
class PlacementReplay
{
public:
    explicit PlacementReplay(const ReplayOptions &options)
        : options_(options)
    {
        for (std::size_t number = 0; number < Readers + Answerers; ++number) {
            auto &engines = number < Readers ? readers_ : answerers_;
            const auto domain = FailureDomain(std::string(1, static_cast<char>('a' + number % 3)));
            const EngineCandidate facts{ .key_ = static_cast<EndpointKey>(number), .domain_ = domain, .slots_ = 12, .isStreaming_ = number >= Readers };
            engines.emplace_back(facts, Speeds.at(number / 3 % Speeds.size()), std::chrono::milliseconds(number * 40000 * 7 / 48));
            if (options.losesDomain_ && number % 3 == 0) {
                engines.back().leavesAt_ = TroubleFrom + std::chrono::milliseconds(number * 3000 / (Readers + Answerers));
            }
        }
    }

    ReplayResult run()
    {
        addArrivals();
        while (!arrivals_.empty()) {
            auto prompt = arrivals_.top();
            arrivals_.pop();
            place(std::move(prompt));
        }
        ReplayResult result;
        result.inTime_ = static_cast<double>(inTime_) / static_cast<double>(all_);
        result.inTimeOfTrouble_ = static_cast<double>(inTimeOfTrouble_) / static_cast<double>(allOfTrouble_);
        std::uint64_t most = 0;
        for (const auto &engine : readers_) {
            result.tokensRead_ += engine.tokensRead();
            most = std::max(most, engine.tokensRead());
        }
        result.busiest_ = static_cast<double>(most * Readers) / static_cast<double>(result.tokensRead_);
        return result;
    }

private:
    static constexpr std::size_t Readers = 48;
    static constexpr std::size_t Answerers = 64;
    static constexpr std::size_t Parts = 1215;
    static constexpr double PerSecond = 113;
    static constexpr std::array Speeds{ 0.6, 1.0, 1.6 };
    static constexpr MonotonicTime Start{ std::chrono::hours(1) };
    static constexpr MonotonicTime TroubleFrom = Start + std::chrono::seconds(30);
    static constexpr MonotonicTime TroubleUntil = Start + std::chrono::seconds(40);
    static constexpr MonotonicTime End = Start + std::chrono::seconds(60);

    struct Prompt {
        MonotonicTime sentAt_;
        MonotonicTime arrivedAt_;
        std::size_t gateway_ = 0;
        PromptFacts facts_{};
        std::set<std::size_t> tried_{};

        bool operator<(const Prompt &other) const
        {
            return sentAt_ > other.sentAt_;
        }
    };

    static bool isTrouble(MonotonicTime time)
    {
        return time >= TroubleFrom && time < TroubleUntil;
    }

    void addArrivals()
    {
        std::vector<double> weights;
        for (std::size_t part = 0; part < Parts; ++part) {
            weights.push_back(1.0 / std::sqrt(static_cast<double>(part + 1)));
        }
        std::discrete_distribution<std::uint64_t> parts(weights.begin(), weights.end());
        std::uniform_real_distribution<double> share;
        auto now = Start;
        while (now < End) {
            const double rate = PerSecond * (isTrouble(now) ? options_.burstFactor_ : 1);
            const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(random_));
            now += std::chrono::duration_cast<std::chrono::microseconds>(gap);
            const auto part = share(random_) < options_.hotShare_ ? Parts : parts(random_);
            const PromptFacts facts{ 3720, 13300, part * 0x9E3779B97F4A7C15, std::chrono::milliseconds(600) };
            arrivals_.push({ now, now, random_() % ReplayGateways, facts, {} });
        }
    }

    /// The engines that a prompt may go to, as its gateway sees them, and their indexes.
    static Candidates candidates(const std::vector<ReplayEngine> &engines, const Prompt &prompt, bool areReaders, std::vector<std::size_t> &indexes)
    {
        Candidates candidates;
        for (std::size_t index = 0; index < engines.size(); ++index) {
            const bool isTried = areReaders && prompt.tried_.contains(index);
            if (!isTried && prompt.sentAt_ - ReplayEngine::ViewAge < engines[index].leavesAt_) {
                candidates.push_back(engines[index].seenBy(prompt.gateway_, prompt.sentAt_));
                indexes.push_back(index);
            }
        }
        return candidates;
    }

    void place(Prompt prompt)
    {
        const auto now = prompt.sentAt_;
        std::vector<std::size_t> readers;
        std::vector<std::size_t> answerers;
        const auto readerFacts = candidates(readers_, prompt, true, readers);
        const auto choice = rules_.choose(prompt.facts_, prompt.gateway_, readerFacts, candidates(answerers_, prompt, false, answerers), now);
        const auto index = readers[choice.reader_];
        auto &reader = readers_[index];
        auto *source = choice.sourceReader_ ? &readers_[readers[*choice.sourceReader_]]
            : choice.sourceAnswerer_        ? &answerers_[answerers[*choice.sourceAnswerer_]]
                                            : nullptr;
        const auto readAt = now < reader.leavesAt_ ? reader.read(prompt.facts_, prompt.gateway_, source, now) : MonotonicTime::max();
        if (readAt > reader.leavesAt_) {
            // A prompt that was not read when its engine left has not run, and is sent to another engine.
            prompt.tried_.insert(index);
            prompt.sentAt_ = std::max(now + std::chrono::milliseconds(1), reader.leavesAt_);
            arrivals_.push(std::move(prompt));
            return;
        }
        answerers_[answerers[choice.answerer_]].answer(prompt.facts_, readAt);
        count(prompt, readAt - prompt.arrivedAt_ <= prompt.facts_.targetLatency_);
    }

    void count(const Prompt &prompt, bool isInTime)
    {
        ++all_;
        inTime_ += isInTime ? 1 : 0;
        if (isTrouble(prompt.arrivedAt_)) {
            ++allOfTrouble_;
            inTimeOfTrouble_ += isInTime ? 1 : 0;
        }
    }

    ReplayOptions options_;
    R rules_;
    std::mt19937_64 random_{ 20261206 };
    std::vector<ReplayEngine> readers_;
    std::vector<ReplayEngine> answerers_;
    std::priority_queue<Prompt> arrivals_;
    std::size_t all_ = 0;
    std::size_t inTime_ = 0;
    std::size_t allOfTrouble_ = 0;
    std::size_t inTimeOfTrouble_ = 0;
};

} // namespace cowsliphead
