#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

#include "core/systemclock.h"
#include "duty/dutybehaviour.h"
#include "mapstore.h"
#include "task/eventloop.h"
#include "task/timer.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// Takes no calls. Models DutyPlatform.
struct SilentPlatform {
    void reportUsage(const WindowCounts & /*counts*/, FencingNumber /*fence*/, const std::function<void(Result<void>)> & /*reply*/)
    {
    }

    void orderServers(const ServerOrder & /*order*/, FencingNumber /*fence*/, const std::function<void(Result<void>)> & /*reply*/)
    {
    }
};

/// The duty of a gateway that has counted one request, with a store that is away.
struct StoppingDuty {
    explicit StoppingDuty(std::chrono::milliseconds stopGrace)
    {
        DutySettings settings;
        settings.stopGrace_ = stopGrace;
        store_.isReachable_ = false;
        duty_.emplace(loop_, store_, platform_, clock_, settings, InstanceId("gateway"), UsageLinks{});
        duty_->start();
        duty_->receive(RequestStarted{ AccountId("press"), clock_.now() });
    }

    /// Stops the duty and returns how long that took.
    std::chrono::milliseconds stop()
    {
        const auto startedAt = clock_.now();
        duty_->receive(DrainRequest{});
        duty_->receive(UsageComplete{});
        loop_.run();
        return std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - startedAt);
    }

    bool hasStoredCounts()
    {
        bool isStored = false;
        store_.range("usage/counts/", {}, [&isStored](const Result<StoreRange> &answer) { isStored = !answer->entries_.empty(); });
        return isStored;
    }

    EventLoop loop_;
    MapStore store_;
    SilentPlatform platform_;
    SystemClock clock_;
    std::optional<DutyBehaviour<MapStore, SilentPlatform, SystemClock>> duty_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_gateway_that_stops_while_the_store_is_away)

BOOST_AUTO_TEST_CASE(stores_its_counts_if_the_store_returns_within_the_grace_period)
{
    // Guards against counts that are given up after one attempt: reports lacked a quarter of a window's requests (namib-verse, trouble-3).
    StoppingDuty stopping(8s);
    Timer returns(stopping.loop_, [&stopping] { stopping.store_.isReachable_ = true; });
    returns.startOnce(1500ms);
    BOOST_TEST((stopping.stop() < 3s));
    BOOST_TEST(stopping.hasStoredCounts());
}

BOOST_AUTO_TEST_CASE(ends_before_it_is_killed)
{
    StoppingDuty stopping(1500ms);
    BOOST_TEST((stopping.stop() < 1500ms));
    BOOST_TEST(!stopping.hasStoredCounts());
}

BOOST_AUTO_TEST_SUITE_END()
