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

/// One random step of a world of claims; how the numbers are read stands in ClaimWorld::apply().
struct ClaimCommand {
    std::uint8_t kind_ = 0;
    std::uint8_t first_ = 0;
    std::uint8_t second_ = 0;
};

/// Three daemons, their callers, one store and one endpoint in virtual time. Every message is a command of its own, so that
/// all orders come about. It notes each run, and each time that a caller is told "not run".
template <ClaimSafeguards Guard>
class ClaimWorld
{
public:
    /// What broke the promise; nothing if it was kept throughout.
    std::optional<std::string> play(const std::vector<ClaimCommand> &commands)
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

    struct Sending {
        std::string key_;
        std::string body_;
        std::size_t daemon_ = 0;
        MonotonicTime receivedAt_;
        Progress progress_ = Progress::Waiting;
        MonotonicTime validUntil_;
    };

    struct Flight {
        std::size_t daemon_ = 0;
        ClaimAction action_ = ClaimAction::Nothing;
        StoreWrite write_;
        bool isAwaited_ = true;
        bool isApplied_ = false;
        Result<StoreRevision> written_ = 0;
        std::optional<StoreEntry> read_;
    };

    struct Daemon {
        ClaimShard<Guard> shard_{ ClaimLimits() };
        std::uint64_t incarnation_ = 0;
        std::chrono::milliseconds skew_{ 0 };
    };

    struct Denial {
        std::string request_;
        MonotonicTime toldAt_;
    };

    void apply(const ClaimCommand &command)
    {
        constexpr int Kinds = 32;
        const int kind = command.kind_ % Kinds;
        const auto daemon = command.first_ % daemons_.size();
        if (kind < 3) {
            send(daemon, command.second_);
        } else if (kind < 10) {
            step(daemon);
        } else if (kind < 16 && !flights_.empty()) {
            applyFlight(flights_[command.first_ % flights_.size()]);
        } else if (kind < 21 && !flights_.empty()) {
            answerFlight(command.first_ % flights_.size());
        } else if (kind < 22 && !flights_.empty()) {
            loseAnswer(flights_[command.first_ % flights_.size()]);
        } else if (kind < 27) {
            attempt(command.first_, command.second_);
        } else if (kind < 28 && command.second_ % 3 == 0) {
            kill(daemon);
        } else if (kind < 29) {
            isStoreDown_ = !isStoreDown_ && command.second_ % 2 == 0;
        } else if (kind < 31) {
            clock_.advance(std::chrono::milliseconds(command.first_ * 2));
        } else if (command.second_ % 4 == 0) {
            outlastRetention();
        } else if (!lateRuns_.empty()) {
            run(*lateRuns_.begin());
            lateRuns_.erase(lateRuns_.begin());
        }
    }

    WallTime wallOf(const Daemon &daemon) const
    {
        return clock_.wallNow() + daemon.skew_;
    }

    ClaimOwner ownerOf(const Daemon &daemon, std::size_t sending) const
    {
        return { std::to_string(&daemon - daemons_.data()) + "-" + std::to_string(daemon.incarnation_), sending };
    }

    /// A caller sends a key, again or for the first time, with one of two bodies.
    void send(std::size_t index, std::uint8_t choice)
    {
        const auto slot = choice % generations_.size();
        const auto key = std::to_string(slot) + "/" + std::to_string(generations_[slot]);
        const std::string body = choice >= 200 ? "other" : "body";
        auto &daemon = daemons_[index];
        sendings_.push_back({ key, body, index, clock_.now(), Progress::Waiting, {} });
        daemon.shard_.ask({ ClaimKey(key), body, ownerOf(daemon, sendings_.size() - 1), wallOf(daemon), clock_.now() });
    }

    void step(std::size_t index)
    {
        auto &daemon = daemons_[index];
        const auto action = daemon.shard_.next(clock_.now(), wallOf(daemon));
        takeVerdicts(daemon);
        if (action == ClaimAction::Nothing) {
            return;
        }
        Flight flight;
        flight.daemon_ = index;
        flight.action_ = action;
        if (action == ClaimAction::Write) {
            flight.write_ = { "shard", encodeClaims(daemon.shard_.proposal()), daemon.shard_.expectedRevision(), {}, false };
        }
        flights_.push_back(std::move(flight));
    }

    void takeVerdicts(Daemon &daemon)
    {
        for (const auto &verdict : daemon.shard_.takeVerdicts()) {
            auto &sending = sendings_[verdict.owner_.sequence_];
            sending.progress_ = verdict.kind_ == ClaimVerdictKind::Granted ? Progress::Granted : Progress::Done;
            sending.validUntil_ = verdict.validUntil_;
            if (verdict.kind_ != ClaimVerdictKind::Granted && verdict.kind_ != ClaimVerdictKind::Replayed) {
                tell(sending, claimRefusal(verdict.kind_).outcome_);
            }
        }
    }

    /// The call reaches the store, perhaps long after its daemon has given it up.
    void applyFlight(Flight &flight)
    {
        if (isStoreDown_ || flight.isApplied_) {
            return;
        }
        flight.isApplied_ = true;
        if (flight.action_ == ClaimAction::Write) {
            flight.written_ = store_.compareAndSwap(flight.write_, clock_.now());
        } else {
            flight.read_ = store_.read("shard", clock_.now());
        }
    }

    void answerFlight(std::size_t index)
    {
        if (!flights_[index].isApplied_) {
            return;
        }
        const auto flight = flights_[index];
        flights_.erase(flights_.begin() + std::ptrdiff_t(index));
        if (!flight.isAwaited_) {
            return;
        }
        auto &shard = daemons_[flight.daemon_].shard_;
        if (flight.action_ == ClaimAction::Read) {
            shard.readAnswered(flight.read_ ? flight.read_->revision_ : 0, flight.read_ ? *decodeClaims(flight.read_->value_) : ClaimTable());
        } else if (flight.written_) {
            shard.written(*flight.written_);
        } else {
            shard.conflicted();
        }
        takeVerdicts(daemons_[flight.daemon_]);
    }

    void loseAnswer(Flight &flight)
    {
        if (!std::exchange(flight.isAwaited_, false)) {
            return;
        }
        auto &daemon = daemons_[flight.daemon_];
        if (flight.action_ == ClaimAction::Read) {
            daemon.shard_.readFailed(clock_.now());
        } else {
            daemon.shard_.writeFailed(clock_.now());
        }
        takeVerdicts(daemon);
    }

    /// A granted sending goes to the endpoint, which does one of five things.
    void attempt(std::uint8_t choice, std::uint8_t fate)
    {
        std::vector<std::size_t> granted;
        for (std::size_t i = 0; i < sendings_.size(); ++i) {
            if (sendings_[i].progress_ == Progress::Granted) {
                granted.push_back(i);
            }
        }
        if (granted.empty()) {
            return;
        }
        const auto index = granted[choice % granted.size()];
        sendings_[index].progress_ = Progress::Done;
        RequestTraits traits;
        traits.isRepeatable_ = false;
        traits.needsClaim_ = true;
        traits.deadline_ = MonotonicTime::max();
        RequestMachine machine(traits);
        machine.begin(clock_.now());
        auto step = machine.claimGranted(clock_.now(), sendings_[index].validUntil_);
        if (std::holds_alternative<DispatchStep>(step)) {
            step = suffer(machine, index, fate % 5);
        }
        finish(index, step);
    }

    RequestStep suffer(RequestMachine &machine, std::size_t index, int fate)
    {
        const bool isOffered = fate >= 1;
        const bool isRefusedWhole = fate == 1;
        if (fate == 2) {
            lateRuns_.insert(index);
        } else if (fate >= 3) {
            run(index);
        }
        if (fate == 4) {
            return machine.answerEnded();
        }
        return machine.attemptFailed({ make_error_code(ErrorCode::EndpointLost), isOffered, isRefusedWhole }, true, clock_.now());
    }

    void finish(std::size_t index, const RequestStep &step)
    {
        const auto &sending = sendings_[index];
        auto &daemon = daemons_[sending.daemon_];
        const auto *fail = std::get_if<FailStep>(&step);
        if (fail != nullptr) {
            tell(sending, fail->outcome_);
        }
        if (fail == nullptr || fail->outcome_ == Outcome::NotRun) {
            const auto answer = fail == nullptr ? std::optional(ClaimAnswer{ 200, "text/plain", "done" }) : std::nullopt;
            daemon.shard_.end({ ClaimKey(sending.key_), ownerOf(daemon, index), fail == nullptr, wallOf(daemon), clock_.now() + std::chrono::hours(1), answer },
                              clock_.now());
        }
    }

    void run(std::size_t index)
    {
        const auto &sending = sendings_[index];
        const auto request = sending.key_ + sending.body_;
        if (!runs_.emplace(sending.key_, index).second) {
            violation_ = "ran twice: " + sending.key_;
        }
        ran_.emplace(request, sending.receivedAt_);
        for (const auto &denial : denials_) {
            if (denial.request_ == request && sending.receivedAt_ <= denial.toldAt_) {
                violation_ = "ran after \"not run\": " + request;
            }
        }
    }

    void tell(const Sending &sending, Outcome outcome)
    {
        if (outcome != Outcome::NotRun) {
            return;
        }
        const auto request = sending.key_ + sending.body_;
        if (ran_.contains(request)) {
            violation_ = "\"not run\" after a run: " + request;
        }
        denials_.push_back({ request, clock_.now() });
    }

    /// The daemon starts anew; what it had under way is not heard of again, but may still reach the store or the endpoint.
    void kill(std::size_t index)
    {
        auto &daemon = daemons_[index];
        daemon.shard_ = ClaimShard<Guard>(ClaimLimits());
        ++daemon.incarnation_;
        for (auto &flight : flights_) {
            flight.isAwaited_ = flight.isAwaited_ && flight.daemon_ != index;
        }
        for (auto &sending : sendings_) {
            sending.progress_ = sending.daemon_ == index ? Progress::Done : sending.progress_;
        }
    }

    /// All daemons are paused for longer than the store remembers. Callers do not send keys again that old if they may have run.
    void outlastRetention()
    {
        clock_.advance(ClaimLimits().retention_ + std::chrono::seconds(1));
        for (std::size_t slot = 0; slot < generations_.size(); ++slot) {
            const auto key = std::to_string(slot) + "/" + std::to_string(generations_[slot]);
            const auto isLate = [&](std::size_t index) { return sendings_[index].key_ == key; };
            const bool mayHaveRun = runs_.contains(key) || std::any_of(lateRuns_.begin(), lateRuns_.end(), isLate);
            generations_[slot] += mayHaveRun ? 1 : 0;
        }
    }

    VirtualClock clock_;
    MemoryStore store_;
    bool isStoreDown_ = false;
    std::array<Daemon, 3> daemons_{ Daemon{}, Daemon{ .skew_ = std::chrono::milliseconds(90) }, Daemon{ .skew_ = std::chrono::milliseconds(-90) } };
    std::array<int, 2> generations_{};
    std::vector<Sending> sendings_;
    std::vector<Flight> flights_;
    std::set<std::size_t> lateRuns_;
    std::map<std::string, std::size_t> runs_;
    std::map<std::string, MonotonicTime> ran_;
    std::vector<Denial> denials_;
    std::optional<std::string> violation_;
};

} // namespace cowsliphead
