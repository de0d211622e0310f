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

const ServiceName Service("engines");
constexpr int Gateways = 59;
constexpr int Engines = 112;
constexpr int LostEngines = 38;

/// The gateways of a deployment whose engines disappear all at once, in virtual time. The relays are replaced by a sum over all gateways that each of
/// them gets with a delay.
class Fleet
{
public:
    explicit Fleet(bool isShared)
        : isShared_(isShared)
    {
        for (int number = 0; number < Gateways; ++number) {
            tables_.push_back(std::make_unique<EndpointTable>(loop_, buffers_));
        }
    }

    /// Lists this many engines at all gateways, without the first ones.
    void list(int without)
    {
        std::vector<EndpointEntry> entries;
        for (int number = without; number < Engines; ++number) {
            EndpointEntry entry;
            entry.id_ = EndpointId("engine-" + std::to_string(number));
            entry.service_ = Service;
            entry.stage_ = EngineStage::Decode;
            entry.slots_ = 12;
            entries.push_back(entry);
        }
        for (const auto &table : tables_) {
            table->update(entries, clock_.now());
        }
    }

    /// Sends requests, 600 each second. The first engines do not accept connections if areLost is set.
    void run(std::chrono::milliseconds time, bool areLost)
    {
        constexpr auto Step = 5ms;
        constexpr int RequestsPerStep = 3;
        for (auto elapsed = 0ms; elapsed < time; elapsed += Step) {
            for (int request = 0; request < RequestsPerStep; ++request) {
                send(*tables_[random_() % tables_.size()], areLost);
            }
            clock_.advance(Step);
            if (elapsed % ExchangeInterval == 0ms) {
                exchange();
            }
        }
    }

    int failedConnects_ = 0;
    int unserved_ = 0;

private:
    static constexpr auto ExchangeInterval = 250ms;
    static constexpr auto ServiceTime = 400ms;
    static constexpr int MaxAttempts = 4;

    void send(EndpointTable &table, bool areLost)
    {
        while (!running_.empty() && running_.front().first <= clock_.now()) {
            --running_.front().second->running_;
            running_.pop_front();
        }
        std::set<EndpointId> tried;
        for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
            const auto candidates = table.candidates(Service, EngineStage::Decode, tried, clock_.now());
            auto *chosen = placement::leastLoaded(candidates, FailureDomain(), clock_.now(), random_);
            const bool isLost = areLost && std::stoi(chosen->entry_.id_.value().substr(std::string("engine-").size())) < LostEngines;
            tried.insert(chosen->entry_.id_);
            if (!isLost) {
                ++chosen->running_;
                running_.emplace_back(clock_.now() + ServiceTime, table.find(chosen->entry_.id_));
                return;
            }
            ++failedConnects_;
            table.health().crashed(chosen->entry_.id_, clock_.now());
            table.sawFailure(*chosen, EndpointFailureKind::Unreachable, clock_.now());
            chosen->latencyRatio_.addFailure();
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

    bool isShared_;
    EventLoop loop_;
    BufferBudget buffers_{ loop_, 1U << 20U };
    VirtualClock clock_;
    std::mt19937_64 random_{ 20261206 };
    std::vector<std::unique_ptr<EndpointTable>> tables_;
    std::deque<std::pair<MonotonicTime, std::shared_ptr<EndpointState>>> running_;
};

/// Lets 38 engines disappear while they stay listed for four seconds.
std::pair<int, int> failedConnects(bool isShared)
{
    Fleet fleet(isShared);
    fleet.list(0);
    fleet.run(2s, false);
    fleet.run(4s, true);
    fleet.list(LostEngines);
    fleet.run(1s, true);
    return { fleet.failedConnects_, fleet.unserved_ };
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
