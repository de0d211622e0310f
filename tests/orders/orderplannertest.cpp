#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <memory>
#include <vector>

#include "duty/orderplanner.h"
#include "duty/simulatedstore.h"
#include "duty/skewedclock.h"
#include "orders/simulatedengine.h"

using namespace cowsliphead;

namespace
{

constexpr int PlannerCount = 3;
constexpr int ActionKinds = 8;
constexpr const char *Engine = "engine1";

struct PlannerAction {
    int kind_ = 0;
    int planner_ = 0;
    int amount_ = 0;
};

std::ostream &operator<<(std::ostream &stream, const PlannerAction &action)
{
    return stream << "{" << action.kind_ << ", " << action.planner_ << ", " << action.amount_ << "}";
}

/// One process that is a candidate for the planner's duty.
struct Process {
    Process(MemoryStore &store, const VirtualClock &clock, SimulatedEngine &engine, int number)
        : clock_(clock, 1.0 + 0.002 * number)
        , store_(store, clock)
        , link_(engine)
        , planner_(store_, clock_, link_, LeasePolicy(), "a", "planner" + std::to_string(number))
    {
    }

    /// Runs one turn. The reply to a call made in it arrives in a later turn, so the process can be paused in between.
    void run()
    {
        if (isPaused_) {
            return;
        }
        link_.sendNext();
        store_.deliver();
        planner_.tick();
    }

    SkewedClock clock_;
    SimulatedStore store_;
    EngineLink link_;
    OrderPlanner<SimulatedStore, SkewedClock, EngineLink> planner_;
    bool isPaused_ = false;
};

class PlannerSimulation
{
public:
    explicit PlannerSimulation(bool checksFencing)
        : engine_(clock_, checksFencing)
    {
        for (int number = 0; number < PlannerCount; ++number) {
            processes_.push_back(std::make_unique<Process>(store_, clock_, engine_, number));
        }
    }

    void apply(const PlannerAction &action)
    {
        auto &process = *processes_[action.planner_];
        switch (action.kind_) {
        case 0:
            // Each planner sees a different load, so their desired orders differ.
            setDesired(action.planner_, "v" + std::to_string(action.amount_));
            break;
        case 1:
            process.isPaused_ = true;
            break;
        case 2:
            process.isPaused_ = false;
            break;
        case 3:
            processes_[action.planner_] = std::make_unique<Process>(store_, clock_, engine_, action.planner_);
            setDesired(action.planner_, "v" + std::to_string(action.amount_));
            break;
        case 4:
            process.store_.setFault(static_cast<StandinFault>(action.amount_ % 4));
            break;
        case 5:
            process.store_.releaseDelayedWrites();
            break;
        case 6:
            process.link_.setLosesAnswers(action.amount_ % 2 == 0);
            break;
        default:
            runFor(Step * action.amount_);
        }
    }

    void setDesired(int planner, const std::string &version)
    {
        processes_[planner]->planner_.setDesired({ Engine, OrderAction::LoadModel, version, 0, 0 });
    }

    void runFor(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{ 0 }; passed < duration; passed += Step) {
            clock_.advance(Step);
            for (const auto &process : processes_) {
                process->run();
            }
        }
    }

    void clearFaultsAndSetDesired(const std::string &version)
    {
        for (int number = 0; number < PlannerCount; ++number) {
            auto &process = *processes_[number];
            process.isPaused_ = false;
            process.store_.setFault(StandinFault::None);
            process.store_.releaseDelayedWrites();
            process.link_.setLosesAnswers(false);
            setDesired(number, version);
        }
        runFor(std::chrono::seconds(60));
    }

    Process *holder()
    {
        for (const auto &process : processes_) {
            if (process->planner_.lease().mayAct()) {
                return process.get();
            }
        }
        return nullptr;
    }

    const std::vector<Order> &executedOrders() const
    {
        return engine_.executedOrders();
    }

    static constexpr std::chrono::milliseconds Step{ 500 };

private:
    VirtualClock clock_;
    MemoryStore store_;
    SimulatedEngine engine_;
    std::vector<std::unique_ptr<Process>> processes_;
};

auto anyHistory()
{
    const auto action = rc::gen::construct<PlannerAction>(rc::gen::inRange(0, ActionKinds), rc::gen::inRange(0, PlannerCount), rc::gen::inRange(1, 50));
    return rc::gen::container<std::vector<PlannerAction>>(action);
}

/// True if each order is newer than all orders before it, or repeats the newest of them.
bool isInOrder(const std::vector<Order> &orders)
{
    Order newest;
    for (const auto &order : orders) {
        const bool isNewer = order.fencing_ >= newest.fencing_ && order.sequence_ > newest.sequence_;
        if (!isNewer && order != newest) {
            return false;
        }
        newest = order;
    }
    return true;
}

void requireNoConflictUnderAnyHistory(bool checksFencing)
{
    const auto history = *anyHistory();
    PlannerSimulation simulation(checksFencing);
    for (const auto &action : history) {
        simulation.apply(action);
    }
    simulation.clearFaultsAndSetDesired("last");
    RC_ASSERT(isInOrder(simulation.executedOrders()));
    RC_ASSERT(simulation.executedOrders().back().subject_ == "last");
}

/// Pauses the duty's holder the given number of turns after it began an order, and resumes it after its successor's order.
std::vector<Order> ordersAroundPause(int turns)
{
    PlannerSimulation simulation(false);
    simulation.runFor(std::chrono::seconds(20));
    for (int planner = 0; planner < PlannerCount; ++planner) {
        simulation.setDesired(planner, "version" + std::to_string(planner));
    }
    auto *former = simulation.holder();
    BOOST_REQUIRE(former != nullptr);
    simulation.runFor(turns * PlannerSimulation::Step);
    former->isPaused_ = true;
    simulation.runFor(std::chrono::seconds(40));
    former->isPaused_ = false;
    simulation.runFor(std::chrono::seconds(10));
    return simulation.executedOrders();
}

} // namespace

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_SUITE(of_a_planner_paused_past_its_lease)

BOOST_AUTO_TEST_CASE(have_no_effect_after_its_successors_wherever_it_was_paused)
{
    constexpr int MaxTurns = 8;
    for (int turns = 0; turns <= MaxTurns; ++turns) {
        const auto orders = ordersAroundPause(turns);
        BOOST_TEST(isInOrder(orders));
        BOOST_TEST(orders.back().fencing_ == 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(under_any_history_of_failures)

RC_BOOST_PROP(never_go_back_at_an_engine_that_checks_fencing_numbers, ())
{
    requireNoConflictUnderAnyHistory(true);
}

RC_BOOST_PROP(never_go_back_at_an_engine_that_ignores_them, ())
{
    requireNoConflictUnderAnyHistory(false);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
