#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <functional>
#include <memory>
#include <vector>

#include "duty/dutycandidate.h"
#include "duty/storecopies.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds Turn{ 20 };

/// Three candidates for one duty, and a platform that checks no fencing numbers.
struct DutySite {
    /// seed varies the times at which the candidates check for a free duty.
    explicit DutySite(int seed = 0)
    {
        for (int number = 0; number < 3; ++number) {
            candidates_.push_back(std::make_unique<DutyCandidate>(copies_.store(), clock_, record_, number, "gateway-" + std::to_string(seed + number)));
        }
    }

    void run(
        std::chrono::milliseconds duration, const std::function<bool()> &isOver = [] { return false; })
    {
        for (const auto end = clock_.now() + duration; clock_.now() < end && !isOver(); clock_.advance(Turn)) {
            copies_.tick();
            for (auto &candidate : candidates_) {
                candidate->store().releaseDelayedWrites();
                candidate->run();
            }
        }
    }

    /// Runs until a candidate, other than the given one, may act. Returns it.
    DutyCandidate &nextHolder(const DutyCandidate *other = nullptr)
    {
        DutyCandidate *holder = nullptr;
        run(30s, [&] {
            for (auto &candidate : candidates_) {
                if (candidate.get() != other && candidate->mayAct()) {
                    holder = candidate.get();
                }
            }
            return holder != nullptr;
        });
        BOOST_REQUIRE(holder != nullptr);
        return *holder;
    }

    /// The holder, if there is one, releases the duty, and the others wait before they try to take it.
    void resignAll(const DutyCandidate *except = nullptr)
    {
        for (auto &candidate : candidates_) {
            if (candidate.get() != except) {
                candidate->resign();
            }
        }
    }

    /// The store is away for a while and comes back from a copy.
    void drill(std::chrono::milliseconds copyAge, std::chrono::milliseconds away)
    {
        for (auto &candidate : candidates_) {
            candidate->store().setFault(StandinFault::Down);
        }
        run(away);
        copies_.restore(copyAge);
        for (auto &candidate : candidates_) {
            candidate->store().setFault(StandinFault::None);
        }
    }

    void checkOrder() const
    {
        BOOST_TEST(record_.outdatedCalls() == 0U);
        BOOST_TEST(record_.returns(DutyCandidate::LeaseDuration) == 0U);
        BOOST_TEST(record_.sharedFences() == 0U);
    }

    VirtualClock clock_;
    StoreCopies copies_{ clock_ };
    DutyCallRecord record_;
    std::vector<std::unique_ptr<DutyCandidate>> candidates_;
};

/// Returns a number from the whole range in every case; by default, the first cases get small numbers only.
int anyOf(int from, int to)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, to));
}

/// Brings about a random fault of a random candidate.
void injectFault(DutySite &site)
{
    auto &candidate = *site.candidates_[static_cast<std::size_t>(anyOf(0, static_cast<int>(site.candidates_.size())))];
    const std::chrono::milliseconds duration(anyOf(10, 6000));
    switch (anyOf(0, 7)) {
    case 0:
        candidate.freeze(duration, *rc::gen::arbitrary<bool>());
        break;
    case 1:
        candidate.delayAnswers(duration);
        break;
    case 2:
        candidate.cutPlatform(duration);
        break;
    case 3:
        site.resignAll();
        break;
    default:
        candidate.store().setFault(*rc::gen::element(StandinFault::Down, StandinFault::Slow, StandinFault::LoseAnswers, StandinFault::None));
        break;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_duty_on_a_platform_that_checks_no_fencing_numbers)

// Guards against calls of a process that does not know that another one holds the duty.
BOOST_AUTO_TEST_SUITE(is_left_by_a_holder)

BOOST_AUTO_TEST_CASE(that_is_frozen_for_longer_than_its_lease)
{
    for (const bool isBeforeCall : { false, true }) {
        DutySite site;
        auto &holder = site.nextHolder();
        site.run(2s);
        holder.freeze(8s, isBeforeCall);
        const auto &successor = site.nextHolder(&holder);
        site.run(20s);
        BOOST_TEST(successor.mayAct());
        BOOST_TEST(!holder.mayAct());
        site.checkOrder();
    }
}

BOOST_AUTO_TEST_CASE(that_is_cut_from_the_store)
{
    DutySite site;
    auto &holder = site.nextHolder();
    site.run(2s);
    holder.store().setFault(StandinFault::Down);
    site.nextHolder(&holder);
    BOOST_TEST(!holder.mayAct());
    site.run(5s);
    holder.store().setFault(StandinFault::None);
    site.run(10s);
    site.checkOrder();
}

BOOST_AUTO_TEST_CASE(whose_last_calls_are_still_under_way)
{
    // Guards against a holder that acts until the very end of its lease: its last calls would arrive after those of its successor.
    for (int seed = 0; seed < 100; ++seed) {
        DutySite site(seed);
        auto &holder = site.nextHolder();
        holder.setCallLatency(1200ms);
        site.run(2s);
        holder.store().setFault(StandinFault::Down);
        site.nextHolder(&holder);
        site.run(5s);
        site.checkOrder();
    }
}

BOOST_AUTO_TEST_CASE(whose_store_answers_later_than_its_lease_lasts)
{
    DutySite site;
    auto &holder = site.nextHolder();
    site.run(2s);
    holder.delayAnswers(8s);
    site.run(20s);
    site.checkOrder();
}

BOOST_AUTO_TEST_CASE(whose_renewals_get_no_answer)
{
    DutySite site;
    auto &holder = site.nextHolder();
    site.run(2s);
    holder.store().setFault(StandinFault::LoseAnswers);
    site.run(3s);
    BOOST_TEST(!holder.mayAct());
    site.run(5s);
    holder.store().setFault(StandinFault::None);
    site.run(10s);
    site.checkOrder();
}

BOOST_AUTO_TEST_CASE(whose_successor_resigns_at_once)
{
    // Guards against a holder that takes the duty again within a lease duration of its last call: the platform hears A, B, A.
    for (int seed = 0; seed < 100; ++seed) {
        DutySite site(seed);
        auto &holder = site.nextHolder();
        site.run(2s);
        holder.store().setFault(StandinFault::Down);
        site.nextHolder(&holder);
        site.run(100ms);
        holder.store().setFault(StandinFault::None);
        site.resignAll(&holder);
        site.run(10s);
        site.checkOrder();
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(is_taken_by_a_candidate)

BOOST_AUTO_TEST_CASE(whose_compare_and_swaps_get_no_answer)
{
    DutySite site;
    for (auto &candidate : site.candidates_) {
        candidate->store().setFault(StandinFault::LoseAnswers);
    }
    site.run(10s);
    BOOST_TEST(site.record_.holdersSince(MonotonicTime()).empty());
    for (auto &candidate : site.candidates_) {
        candidate->store().setFault(StandinFault::None);
    }
    site.run(15s);
    BOOST_TEST(site.record_.holdersSince(MonotonicTime()).size() == 1U);
    site.checkOrder();
}

BOOST_AUTO_TEST_CASE(whose_writes_take_effect_after_it_gave_up)
{
    DutySite site;
    site.candidates_.front()->store().setFault(StandinFault::Slow);
    site.run(20s);
    site.candidates_.front()->store().setFault(StandinFault::None);
    site.run(10s);
    site.checkOrder();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_held_by_one_process_at_a_time_property)
{
    const bool holds = rc::check("holders are ordered under any faults", [] {
        DutySite site(anyOf(0, 1000));
        const auto faults = anyOf(1, 25);
        for (int number = 0; number < faults; ++number) {
            site.run(std::chrono::milliseconds(anyOf(50, 3000)));
            injectFault(site);
        }
        RC_ASSERT(site.record_.outdatedCalls() == 0U);
        RC_ASSERT(site.record_.returns(DutyCandidate::LeaseDuration) == 0U);
    });
    BOOST_TEST(holds);
}

// Guards against two holders with one fencing number, and against a holder that acts for a lease which the store has lost (review/12).
BOOST_AUTO_TEST_SUITE(of_a_store_that_came_back_from_a_copy)

BOOST_AUTO_TEST_CASE(has_a_higher_fencing_number_than_any_that_was_lost)
{
    for (int seed = 0; seed < 50; ++seed) {
        DutySite site(seed);
        site.nextHolder().resign();
        site.run(3s);
        const auto &last = site.nextHolder();
        site.run(1s);
        site.drill(4s, 500ms);
        // Whoever held the duty ends.
        for (auto &candidate : site.candidates_) {
            if (candidate.get() == &last) {
                candidate->freeze(60s, false);
            }
        }
        site.nextHolder(&last);
        site.run(5s);
        site.checkOrder();
    }
}

BOOST_AUTO_TEST_CASE(has_a_higher_fencing_number_than_any_of_the_version_before)
{
    // That version counted on from the number in the store, in whichever era.
    DutySite site;
    StoreWrite write;
    write.key_ = "duty/leader/fencing";
    write.value_ = "41";
    const auto written = site.copies_.store().compareAndSwap(write, site.clock_.now());
    site.copies_.tick();
    site.clock_.advance(1s);
    write.value_ = "42";
    write.expectedRevision_ = *written;
    BOOST_REQUIRE(site.copies_.store().compareAndSwap(write, site.clock_.now()).has_value());
    site.copies_.restore(1s);
    site.nextHolder();
    site.run(1s);
    BOOST_TEST(site.record_.lowestFence() > 42U);
    site.checkOrder();
}

BOOST_AUTO_TEST_CASE(is_left_by_its_holder_before_another_one_acts)
{
    for (int seed = 0; seed < 50; ++seed) {
        DutySite site(seed);
        site.nextHolder();
        site.run(1s);
        // The copy has no holder: the others may take the duty at once.
        site.drill(8s, 300ms);
        site.run(15s);
        site.checkOrder();
    }
}

BOOST_AUTO_TEST_CASE(is_taken_by_a_holder_that_was_cut_off_when_the_store_came_back)
{
    DutySite site;
    auto &holder = site.nextHolder();
    site.run(1s);
    site.drill(8s, 300ms);
    holder.store().setFault(StandinFault::Down);
    site.run(8s);
    holder.store().setFault(StandinFault::None);
    site.run(15s);
    site.checkOrder();
}

/// A process that acquires the duty, step by step.
struct Acquirer {
    Acquirer(StoreCopies &copies, const VirtualClock &clock, const std::string &name)
        : store_(copies.store(), clock)
        , lease_(store_, clock, policy(), "duty/leader", name)
    {
    }

    static LeasePolicy policy()
    {
        LeasePolicy policy;
        policy.duration_ = 3000ms;
        policy.margin_ = 1000ms;
        policy.renewInterval_ = 750ms;
        policy.successorWait_ = 300ms;
        policy.candidateInterval_ = 1ms;
        return policy;
    }

    void step()
    {
        store_.deliver();
        lease_.tick();
    }

    SimulatedStore store_;
    LeaseHolder<SimulatedStore, VirtualClock> lease_;
};

BOOST_AUTO_TEST_CASE(is_not_taken_at_once_from_a_first_holder_that_stops_before_it_has_acted)
{
    // Guards against a second holder of an era that does not wait for holders of earlier ones because the first one was to.
    constexpr auto Step = 50ms;
    VirtualClock clock;
    clock.advance(1h);
    StoreCopies copies(clock);
    copies.tick();
    Acquirer former(copies, clock, "former");
    Acquirer first(copies, clock, "first");
    Acquirer second(copies, clock, "second");
    const auto stepUntil = [&](Acquirer &acquirer, const std::function<bool()> &isReached) {
        for (int turn = 0; turn < 200 && !isReached(); ++turn) {
            acquirer.step();
            clock.advance(Step);
        }
        BOOST_REQUIRE(isReached());
    };
    stepUntil(former, [&] { return former.lease_.mayAct(); });
    copies.restore(1h);
    stepUntil(first, [&] { return first.lease_.fencingNumber() != 0; });
    first.lease_.resign();
    BOOST_REQUIRE(former.lease_.mayAct());
    stepUntil(second, [&] { return second.lease_.mayAct(); });
    BOOST_TEST(!former.lease_.mayAct());
    BOOST_TEST(second.lease_.fencingNumber() > first.lease_.fencingNumber());
}

BOOST_AUTO_TEST_SUITE(is_not_the_same_tenure)

BOOST_AUTO_TEST_CASE(if_another_one_held_it_before_an_acquisition_that_a_drill_cut_short)
{
    // Guards against a holder that vouches for windows which another process has reported: it had no fencing number yet when the store went away.
    constexpr auto Step = 50ms;
    for (int steps = 1; steps < 8; ++steps) {
        VirtualClock clock;
        clock.advance(1h);
        StoreCopies copies(clock);
        Acquirer holder(copies, clock, "first");
        Acquirer other(copies, clock, "other");
        const auto acquire = [&](Acquirer &acquirer) {
            for (int turn = 0; turn < 200 && !acquirer.lease_.mayAct(); ++turn) {
                copies.tick();
                acquirer.step();
                clock.advance(Step);
            }
            BOOST_REQUIRE(acquirer.lease_.mayAct());
        };
        const auto resign = [&](Acquirer &acquirer) {
            acquirer.lease_.resign();
            acquirer.store_.deliver();
            clock.advance(4s);
        };
        acquire(holder);
        const auto tenure = holder.lease_.duty().tenure_;
        resign(holder);
        acquire(other);
        resign(other);
        for (int step = 0; step < steps; ++step) {
            copies.tick();
            holder.step();
            clock.advance(Step);
        }
        const bool isAcquired = holder.lease_.duty().tenure_ != tenure;
        copies.restore(1s);
        // Another call of the process tells the new era first.
        holder.store_.read("other", [](const Result<std::optional<StoreEntry>> & /*answer*/) {});
        acquire(holder);
        BOOST_TEST(holder.lease_.duty().tenure_ != tenure);
        BOOST_TEST((isAcquired || holder.lease_.duty().tenure_ == tenure + 1));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(is_held_by_one_process_at_a_time_after_two_drills_within_seconds)
{
    for (int seed = 0; seed < 50; ++seed) {
        DutySite site(seed);
        site.nextHolder();
        site.run(2s);
        site.drill(2s, 300ms);
        site.run(std::chrono::milliseconds(100 * seed));
        site.drill(4s, 300ms);
        site.run(15s);
        site.checkOrder();
    }
}

BOOST_AUTO_TEST_CASE(is_held_by_one_process_at_a_time_property)
{
    const bool holds = rc::check("holders are ordered under any faults and drills", [] {
        DutySite site(anyOf(0, 1000));
        const auto faults = anyOf(1, 25);
        for (int number = 0; number < faults; ++number) {
            site.run(std::chrono::milliseconds(anyOf(50, 3000)));
            if (anyOf(0, 3) == 0) {
                site.drill(std::chrono::milliseconds(anyOf(100, 8000)), std::chrono::milliseconds(anyOf(20, 2000)));
            } else {
                injectFault(site);
            }
        }
        RC_ASSERT(site.record_.outdatedCalls() == 0U);
        RC_ASSERT(site.record_.returns(DutyCandidate::LeaseDuration) == 0U);
        RC_ASSERT(site.record_.sharedFences() == 0U);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
