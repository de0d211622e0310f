#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "claim/claimcodec.h"
#include "core/errorcode.h"
#include "core/virtualclock.h"
#include "decide/attemptfailure.h"
#include "decide/claimrefusal.h"
#include "decide/claimshard.h"
#include "decide/requestmachine.h"
#include "store/memorystore.h"

namespace cowsliphead
{

/// One random step of a claim simulation; ClaimSimulation::apply() defines the meaning of the numbers.
struct ClaimCommand {
    std::uint8_t kind_ = 0;
    std::uint8_t first_ = 0;
    std::uint8_t second_ = 0;
};

/// Simulates three daemons, their callers, one store and one endpoint in virtual time. Each delivery of a message is a command of its own,
/// so that random commands produce all orders. Records each run of a request and each "not run" answer to a caller, and checks that no
/// request runs twice and that each "not run" answer holds for all submissions received before it.
template <ClaimSafeguards Safeguards>
class ClaimSimulation
{
public:
    /// Runs the commands. Returns a description of the violation, or nothing if the guarantee held throughout.
    std::optional<std::string> simulate(const std::vector<ClaimCommand> &commands)
    {
        for (const auto &command : commands) {
            clock_.advance(std::chrono::milliseconds(1));
            apply(command);
        }
        return violation_;
    }

    std::size_t runCount() const
    {
        return runs_.size();
    }

private:
    enum class Progress { Waiting, Granted, Done };

    struct Submission {
        std::string key_;
        std::string body_;
        std::size_t daemon_ = 0;
        MonotonicTime receivedAt_;
        Progress progress_ = Progress::Waiting;
        MonotonicTime validUntil_;
    };

    struct StoreCall {
        std::size_t daemon_ = 0;
        ClaimAction action_ = ClaimAction::Nothing;
        StoreWrite write_;
        bool isAwaited_ = true;
        bool isApplied_ = false;
        Result<StoreRevision> written_ = 0;
        std::optional<StoreEntry> read_;
    };

    struct Daemon {
        ClaimShard<Safeguards> shard_{ ClaimLimits() };
        std::uint64_t incarnation_ = 0;
        std::chrono::milliseconds skew_{ 0 };
    };

    struct NotRunAnswer {
        std::string request_;
        MonotonicTime answeredAt_;
    };

    void apply(const ClaimCommand &command)
    {
        constexpr int Kinds = 32;
        const int kind = command.kind_ % Kinds;
        const auto daemon = command.first_ % daemons_.size();
        if (kind < 3) {
            submit(daemon, command.second_);
        } else if (kind < 10) {
            step(daemon);
        } else if (kind < 16 && !storeCalls_.empty()) {
            applyCall(storeCalls_[command.first_ % storeCalls_.size()]);
        } else if (kind < 21 && !storeCalls_.empty()) {
            answerCall(command.first_ % storeCalls_.size());
        } else if (kind < 22 && !storeCalls_.empty()) {
            loseAnswer(storeCalls_[command.first_ % storeCalls_.size()]);
        } else if (kind < 27) {
            dispatchGranted(command.first_, command.second_);
        } else if (kind < 28 && command.second_ % 3 == 0) {
            restartDaemon(daemon);
        } else if (kind < 29) {
            isStoreDown_ = !isStoreDown_ && command.second_ % 2 == 0;
        } else if (kind < 31) {
            clock_.advance(std::chrono::milliseconds(command.first_ * 2));
        } else if (command.second_ % 4 == 0) {
            advancePastRetention();
        } else if (!delayedRuns_.empty()) {
            run(*delayedRuns_.begin());
            delayedRuns_.erase(delayedRuns_.begin());
        }
    }

    WallTime wallTimeOf(const Daemon &daemon) const
    {
        return clock_.wallNow() + daemon.skew_;
    }

    ClaimOwner ownerOf(const Daemon &daemon, std::size_t submission) const
    {
        return { std::to_string(&daemon - daemons_.data()) + "-" + std::to_string(daemon.incarnation_), submission };
    }

    /// A caller submits a request with a new or an already used key and one of two bodies.
    void submit(std::size_t index, std::uint8_t choice)
    {
        const auto slot = choice % generations_.size();
        const auto key = std::to_string(slot) + "/" + std::to_string(generations_[slot]);
        const std::string body = choice >= 200 ? "other" : "body";
        auto &daemon = daemons_[index];
        submissions_.push_back({ key, body, index, clock_.now(), Progress::Waiting, {} });
        daemon.shard_.ask({ ClaimKey(key), body, ownerOf(daemon, submissions_.size() - 1), wallTimeOf(daemon), clock_.now() });
    }

    void step(std::size_t index)
    {
        auto &daemon = daemons_[index];
        const auto action = daemon.shard_.next(clock_.now(), wallTimeOf(daemon));
        takeVerdicts(daemon);
        if (action == ClaimAction::Nothing) {
            return;
        }
        StoreCall call;
        call.daemon_ = index;
        call.action_ = action;
        if (action == ClaimAction::Write) {
            call.write_ = { "shard", encodeClaims(daemon.shard_.proposal()), daemon.shard_.expectedRevision(), {}, false };
        }
        storeCalls_.push_back(std::move(call));
    }

    void takeVerdicts(Daemon &daemon)
    {
        for (const auto &verdict : daemon.shard_.takeVerdicts()) {
            auto &submission = submissions_[verdict.owner_.sequence_];
            submission.progress_ = verdict.kind_ == ClaimVerdictKind::Granted ? Progress::Granted : Progress::Done;
            submission.validUntil_ = verdict.validUntil_;
            if (verdict.kind_ != ClaimVerdictKind::Granted && verdict.kind_ != ClaimVerdictKind::Replayed) {
                answerCaller(submission, claimRefusal(verdict.kind_).outcome_);
            }
        }
    }

    /// Delivers the call to the store, possibly long after its daemon has treated it as failed.
    void applyCall(StoreCall &call)
    {
        if (isStoreDown_ || call.isApplied_) {
            return;
        }
        call.isApplied_ = true;
        if (call.action_ == ClaimAction::Write) {
            call.written_ = store_.compareAndSwap(call.write_, clock_.now());
        } else {
            call.read_ = store_.read("shard", clock_.now());
        }
    }

    void answerCall(std::size_t index)
    {
        if (!storeCalls_[index].isApplied_) {
            return;
        }
        const auto call = storeCalls_[index];
        storeCalls_.erase(storeCalls_.begin() + std::ptrdiff_t(index));
        if (!call.isAwaited_) {
            return;
        }
        auto &shard = daemons_[call.daemon_].shard_;
        if (call.action_ == ClaimAction::Read) {
            shard.readAnswered(call.read_ ? call.read_->revision_ : 0, call.read_ ? *decodeClaims(call.read_->value_) : ClaimTable());
        } else if (call.written_) {
            shard.written(*call.written_);
        } else {
            shard.conflicted();
        }
        takeVerdicts(daemons_[call.daemon_]);
    }

    void loseAnswer(StoreCall &call)
    {
        if (!std::exchange(call.isAwaited_, false)) {
            return;
        }
        auto &daemon = daemons_[call.daemon_];
        if (call.action_ == ClaimAction::Read) {
            daemon.shard_.readFailed(clock_.now());
        } else {
            daemon.shard_.writeFailed(clock_.now());
        }
        takeVerdicts(daemon);
    }

    /// Dispatches a granted submission to the endpoint, which behaves in one of five ways.
    void dispatchGranted(std::uint8_t choice, std::uint8_t endpointBehaviour)
    {
        std::vector<std::size_t> granted;
        for (std::size_t i = 0; i < submissions_.size(); ++i) {
            if (submissions_[i].progress_ == Progress::Granted) {
                granted.push_back(i);
            }
        }
        if (granted.empty()) {
            return;
        }
        const auto index = granted[choice % granted.size()];
        submissions_[index].progress_ = Progress::Done;
        RequestTraits traits;
        traits.isRepeatable_ = false;
        traits.needsClaim_ = true;
        traits.deadline_ = MonotonicTime::max();
        RequestMachine machine(traits);
        machine.begin(clock_.now());
        auto step = machine.claimGranted(clock_.now(), submissions_[index].validUntil_);
        if (std::holds_alternative<DispatchStep>(step)) {
            step = simulateAttempt(machine, index, endpointBehaviour % 5);
        }
        finish(index, step);
    }

    RequestStep simulateAttempt(RequestMachine &machine, std::size_t index, int endpointBehaviour)
    {
        const bool mayHaveBeenSent = endpointBehaviour >= 1;
        const bool wasReportedNotRun = endpointBehaviour == 1;
        if (endpointBehaviour == 2) {
            delayedRuns_.insert(index);
        } else if (endpointBehaviour >= 3) {
            run(index);
        }
        if (endpointBehaviour == 4) {
            return machine.answerEnded();
        }
        return machine.attemptFailed({ make_error_code(ErrorCode::EndpointLost), mayHaveBeenSent, wasReportedNotRun }, true, clock_.now());
    }

    void finish(std::size_t index, const RequestStep &step)
    {
        const auto &submission = submissions_[index];
        auto &daemon = daemons_[submission.daemon_];
        const auto *fail = std::get_if<FailStep>(&step);
        if (fail != nullptr) {
            answerCaller(submission, fail->outcome_);
        }
        if (fail == nullptr || fail->outcome_ == Outcome::NotRun) {
            const auto answer = fail == nullptr ? std::optional(ClaimAnswer{ 200, "text/plain", "done" }) : std::nullopt;
            daemon.shard_.end(
                { ClaimKey(submission.key_), ownerOf(daemon, index), fail == nullptr, wallTimeOf(daemon), clock_.now() + std::chrono::hours(1), answer },
                clock_.now());
        }
    }

    void run(std::size_t index)
    {
        const auto &submission = submissions_[index];
        const auto request = submission.key_ + submission.body_;
        if (!runs_.emplace(submission.key_, index).second) {
            violation_ = "ran twice: " + submission.key_;
        }
        ranRequests_.emplace(request, submission.receivedAt_);
        for (const auto &notRunAnswer : notRunAnswers_) {
            if (notRunAnswer.request_ == request && submission.receivedAt_ <= notRunAnswer.answeredAt_) {
                violation_ = "ran after \"not run\": " + request;
            }
        }
    }

    void answerCaller(const Submission &submission, Outcome outcome)
    {
        if (outcome != Outcome::NotRun) {
            return;
        }
        const auto request = submission.key_ + submission.body_;
        if (ranRequests_.contains(request)) {
            violation_ = "\"not run\" after a run: " + request;
        }
        notRunAnswers_.push_back({ request, clock_.now() });
    }

    /// Restarts the daemon. It receives no answers to its open calls, but these may still reach the store or the endpoint.
    void restartDaemon(std::size_t index)
    {
        auto &daemon = daemons_[index];
        daemon.shard_ = ClaimShard<Safeguards>(ClaimLimits());
        ++daemon.incarnation_;
        for (auto &call : storeCalls_) {
            call.isAwaited_ = call.isAwaited_ && call.daemon_ != index;
        }
        for (auto &submission : submissions_) {
            submission.progress_ = submission.daemon_ == index ? Progress::Done : submission.progress_;
        }
    }

    /// Pauses all daemons for longer than claims are retained. Callers do not reuse keys from before the pause whose request may have run.
    void advancePastRetention()
    {
        clock_.advance(ClaimLimits().retention_ + std::chrono::seconds(1));
        for (std::size_t slot = 0; slot < generations_.size(); ++slot) {
            const auto key = std::to_string(slot) + "/" + std::to_string(generations_[slot]);
            const auto hasKey = [&](std::size_t index) { return submissions_[index].key_ == key; };
            const bool mayHaveRun = runs_.contains(key) || std::any_of(delayedRuns_.begin(), delayedRuns_.end(), hasKey);
            generations_[slot] += mayHaveRun ? 1 : 0;
        }
    }

    VirtualClock clock_;
    MemoryStore store_;
    bool isStoreDown_ = false;
    std::array<Daemon, 3> daemons_{ Daemon{}, Daemon{ .skew_ = std::chrono::milliseconds(90) }, Daemon{ .skew_ = std::chrono::milliseconds(-90) } };
    std::array<int, 2> generations_{};
    std::vector<Submission> submissions_;
    std::vector<StoreCall> storeCalls_;
    std::set<std::size_t> delayedRuns_;
    std::map<std::string, std::size_t> runs_;
    std::map<std::string, MonotonicTime> ranRequests_;
    std::vector<NotRunAnswer> notRunAnswers_;
    std::optional<std::string> violation_;
};

} // namespace cowsliphead
