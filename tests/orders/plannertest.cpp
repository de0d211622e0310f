#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <memory>
#include <vector>

#include "duty/planner.h"
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

    /// Takes one turn, so that a pause can come between any answer and the next.
    void run()
    {
        if (isPaused_) {
            return;
        }
        link_.pump();
        store_.deliver();
        planner_.tick();
    }

    SkewedClock clock_;
    SimulatedStore store_;
    EngineLink link_;
    Planner<SimulatedStore, SkewedClock, EngineLink> planner_;
    bool isPaused_ = false;
};

class Domain
{
public:
    explicit Domain(bool checksFencing)
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
            // Planners see the load differently, so they want different things.
            want(action.planner_, "v" + std::to_string(action.amount_));
            break;
        case 1:
            process.isPaused_ = true;
            break;
        case 2:
            process.isPaused_ = false;
            break;
        case 3:
            processes_[action.planner_] = std::make_unique<Process>(store_, clock_, engine_, action.planner_);
            want(action.planner_, "v" + std::to_string(action.amount_));
            break;
        case 4:
            process.store_.setFault(static_cast<StandinFault>(action.amount_ % 4));
            break;
        case 5:
            process.store_.releaseLateWrites();
            break;
        case 6:
            process.link_.setLosesAnswers(action.amount_ % 2 == 0);
            break;
        default:
            pass(Step * action.amount_);
        }
    }

    void want(int planner, const std::string &version)
    {
        processes_[planner]->planner_.want({ Engine, OrderAction::LoadModel, version, 0, 0 });
    }

    void pass(std::chrono::milliseconds duration)
    {
        for (std::chrono::milliseconds passed{ 0 }; passed < duration; passed += Step) {
            clock_.advance(Step);
            for (const auto &process : processes_) {
                process->run();
            }
        }
    }

    void healAndWant(const std::string &version)
    {
        for (int number = 0; number < PlannerCount; ++number) {
            auto &process = *processes_[number];
            process.isPaused_ = false;
            process.store_.setFault(StandinFault::None);
            process.store_.releaseLateWrites();
            process.link_.setLosesAnswers(false);
            want(number, version);
        }
        pass(std::chrono::seconds(60));
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

/// True if no order was carried out after a newer one, and none that differs from one of the same number.
bool isNeverOlder(const std::vector<Order> &orders)
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
    Domain domain(checksFencing);
    for (const auto &action : history) {
        domain.apply(action);
    }
    domain.healAndWant("last");
    RC_ASSERT(isNeverOlder(domain.executedOrders()));
    RC_ASSERT(domain.executedOrders().back().subject_ == "last");
}

/// The planner that has the duty is paused so many turns after it began an order, and comes back after its successor's order.
std::vector<Order> carriedOutAroundPause(int turns)
{
    Domain domain(false);
    domain.pass(std::chrono::seconds(20));
    for (int planner = 0; planner < PlannerCount; ++planner) {
        domain.want(planner, "version" + std::to_string(planner));
    }
    auto *former = domain.holder();
    BOOST_REQUIRE(former != nullptr);
    domain.pass(turns * Domain::Step);
    former->isPaused_ = true;
    domain.pass(std::chrono::seconds(40));
    former->isPaused_ = false;
    domain.pass(std::chrono::seconds(10));
    return domain.executedOrders();
}

} // namespace

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_SUITE(of_a_planner_paused_past_its_lease)

BOOST_AUTO_TEST_CASE(have_no_effect_after_its_successors_wherever_it_was_paused)
{
    constexpr int MostTurns = 8;
    for (int turns = 0; turns <= MostTurns; ++turns) {
        const auto orders = carriedOutAroundPause(turns);
        BOOST_TEST(isNeverOlder(orders));
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
