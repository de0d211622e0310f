#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "core/virtualclock.h"
#include "gateway/endpointtable.h"
#include "http1/bufferbudget.h"
#include "task/eventloop.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

const ServiceName Service("service");
constexpr int Gateways = 59;

/// Some endpoints of a deployment fail, all in the same way.
struct Failure {
    EndpointFailureKind kind_ = EndpointFailureKind::Unreachable;
    int endpoints_ = 0;
    int failing_ = 0;
    int requestsPerSecond_ = 0;

    /// Attempts of a request that fails.
    int maxAttempts_ = 1;
};

/// The gateways of the deployment, in virtual time. The relays are replaced by a sum over all gateways that each of them gets with a delay. Without
/// the exchange, a failure does not count as a late answer either, as before.
class Fleet
{
public:
    Fleet(const Failure &failure, bool isShared)
        : failure_(failure)
        , isShared_(isShared)
    {
        for (int number = 0; number < Gateways; ++number) {
            tables_.push_back(std::make_unique<EndpointTable>(loop_, buffers_));
        }
    }

    /// Lists the endpoints at all gateways, without the first ones.
    void list(int without)
    {
        std::vector<EndpointEntry> entries;
        for (int number = without; number < failure_.endpoints_; ++number) {
            EndpointEntry entry;
            entry.id_ = EndpointId("endpoint-" + std::to_string(number));
            entry.service_ = Service;
            entry.slots_ = 12;
            entries.push_back(entry);
        }
        for (const auto &table : tables_) {
            table->update(entries, clock_.now(), clock_.wallNow());
        }
    }

    /// Sends requests. Those to the first endpoints fail if isFailing is set.
    void run(std::chrono::milliseconds time, bool isFailing)
    {
        constexpr auto Step = 5ms;
        for (auto elapsed = 0ms; elapsed < time; elapsed += Step) {
            for (dueRequests_ += std::chrono::duration<double>(Step).count() * failure_.requestsPerSecond_; dueRequests_ >= 1; dueRequests_ -= 1) {
                send(*tables_[random_() % tables_.size()], isFailing);
            }
            clock_.advance(Step);
            if (elapsed % ExchangeInterval == 0ms) {
                exchange();
            }
        }
    }

    int failures_ = 0;
    int unserved_ = 0;

private:
    static constexpr auto ExchangeInterval = 250ms;
    static constexpr auto ServiceTime = 100ms;
    static constexpr auto TargetLatency = 300ms;

    void send(EndpointTable &table, bool isFailing)
    {
        while (!running_.empty() && running_.front().first <= clock_.now()) {
            --running_.front().second->running_;
            running_.pop_front();
        }
        std::set<EndpointId> tried;
        for (int attempt = 0; attempt < failure_.maxAttempts_; ++attempt) {
            const auto candidates = table.candidates(Service, EngineStage::None, tried, clock_.now());
            auto *chosen = placement::leastLoaded(candidates, FailureDomain(), clock_.now(), random_);
            tried.insert(chosen->entry_.id_);
            if (!isFailing || std::stoi(chosen->entry_.id_.value().substr(std::string("endpoint-").size())) >= failure_.failing_) {
                chosen->latencyRatio_.addAnswer(ServiceTime, TargetLatency);
                ++chosen->running_;
                running_.emplace_back(clock_.now() + ServiceTime, table.find(chosen->entry_.id_));
                return;
            }
            ++failures_;
            table.health().crashed(chosen->entry_.id_, clock_.now());
            table.sawFailure(*chosen, failure_.kind_, clock_.now());
            if (isShared_) {
                chosen->latencyRatio_.addFailure();
            }
        }
        ++unserved_;
    }

    void exchange()
    {
        using Key = std::pair<IncarnationKey, EndpointFailureKind>;
        std::map<Key, std::map<const EndpointTable *, std::chrono::milliseconds>> sightings;
        for (const auto &table : tables_) {
            for (const auto &failure : table->avoided().ownFailures(clock_.now())) {
                sightings[{ failure.endpoint_, failure.kind_ }][table.get()] = failure.age_;
            }
        }
        for (const auto &table : tables_) {
            EndpointFailures failures;
            for (const auto &[key, ages] : sightings) {
                EndpointFailure failure{ key.first, key.second, 0, 3s };
                for (const auto &[gateway, age] : ages) {
                    if (gateway != table.get()) {
                        ++failure.gateways_;
                        failure.age_ = std::min(failure.age_, age + ExchangeInterval);
                    }
                }
                if (failure.gateways_ > 0) {
                    failures.push_back(failure);
                }
            }
            table->setFailuresOfOthers(isShared_ ? failures : EndpointFailures(), clock_.now());
        }
    }

    Failure failure_;
    bool isShared_;
    EventLoop loop_;
    BufferBudget buffers_{ loop_, 1U << 20U };
    VirtualClock clock_;
    double dueRequests_ = 0;
    std::mt19937_64 random_{ 20261206 };
    std::vector<std::unique_ptr<EndpointTable>> tables_;
    std::deque<std::pair<MonotonicTime, std::shared_ptr<EndpointState>>> running_;
};

/// Lets 38 of 112 engines disappear while they stay listed for four seconds. Returns the failed connects and the requests not served.
std::pair<int, int> failedConnects(bool isShared)
{
    const Failure failure{ EndpointFailureKind::Unreachable, 112, 38, 600, 4 };
    Fleet fleet(failure, isShared);
    fleet.list(0);
    fleet.run(2s, false);
    fleet.run(4s, true);
    fleet.list(failure.failing_);
    fleet.run(1s, true);
    return { fleet.failures_, fleet.unserved_ };
}

/// One of three endpoints closes each connection at once for a minute. Returns the requests that it ended.
int lostRequests(bool isShared)
{
    Fleet fleet({ EndpointFailureKind::ClosedUnanswered, 3, 1, 160, 1 }, isShared);
    fleet.list(0);
    fleet.run(2s, false);
    fleet.run(60s, true);
    return fleet.unserved_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engines_that_disappear_all_at_once)

BOOST_AUTO_TEST_CASE(cost_few_failed_connects_if_the_gateways_tell_each_other)
{
    const auto [alone, unservedAlone] = failedConnects(false);
    const auto [shared, unserved] = failedConnects(true);
    BOOST_TEST_MESSAGE("failed connects: " << alone << " alone, " << shared << " shared; unserved: " << unservedAlone << ", " << unserved);
    BOOST_TEST(shared < 500);
    // Without the exchange, the same failure exceeds the limit.
    BOOST_TEST(alone > 500);
    BOOST_TEST(unserved <= unservedAlone);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_endpoint_that_closes_each_connection_at_once)

BOOST_AUTO_TEST_CASE(ends_few_requests_if_the_gateways_tell_each_other)
{
    const int alone = lostRequests(false);
    const int shared = lostRequests(true);
    BOOST_TEST_MESSAGE("lost requests: " << alone << " alone, " << shared << " shared");
    // Most of them end before the first reports arrive: within half a second the gateways send 80 requests, and the endpoint seems to be idle.
    BOOST_TEST(shared < 150);
    BOOST_TEST(alone > 300);
}

BOOST_AUTO_TEST_SUITE_END()
