#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

#include "relay/endpointstateupdates.h"
#include "relay/relaymessagecodec.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr MonotonicTime Start(1h);
constexpr auto Duration = 120s;

/// The longest interval, as in a failure domain with 49 gateways.
constexpr auto QueryInterval = 250ms;

/// Engines of three speeds, 15% of which are slowed for ten seconds at a time, as in the second deployment of adaptive serving.
class Traffic
{
public:
    explicit Traffic(std::size_t endpoints)
    {
        for (std::size_t index = 0; index < endpoints; ++index) {
            keys_.push_back(static_cast<EndpointKey>(random_()));
        }
        std::sort(keys_.begin(), keys_.end());
    }

    /// What all gateways have observed: the endpoint reads for half of the time, and its weight varies by a tenth.
    EndpointObservations ofFleet(MonotonicTime now)
    {
        EndpointObservations observations;
        for (std::size_t index = 0; index < keys_.size(); ++index) {
            const auto milliseconds = std::uniform_int_distribution<int>(6500, 7900)(random_);
            const double noise = std::uniform_real_distribution<>(0.97, 1.03)(random_);
            observations.push_back(
                { keys_[index], static_cast<std::uint64_t>(milliseconds * speedOf(index, now) * noise), std::chrono::milliseconds(milliseconds) });
        }
        return observations;
    }

    /// What one gateway has observed. It reads with each endpoint about once in ten seconds.
    EndpointObservations ofGateway(MonotonicTime now)
    {
        for (std::size_t index = 0; index < keys_.size(); ++index) {
            auto &[weight, at] = own_[keys_[index]];
            weight = weight * ObservationWeight::decayAfter(now - at);
            at = now;
            if (std::bernoulli_distribution(QueryInterval / 10.0s)(random_)) {
                weight += { 1215, 1215 / speedOf(index, now) };
            }
        }
        EndpointObservations observations;
        for (const auto &[key, own] : own_) {
            const auto observation = own.first.rounded(key);
            if (observation.readingTime_ > 0ms) {
                observations.push_back(observation);
            }
        }
        return observations;
    }

    /// The endpoints of one of seven failure domains are lost at once.
    EndpointFailures failures() const
    {
        EndpointFailures failures;
        for (std::size_t index = 0; index < keys_.size() / 7; ++index) {
            failures.push_back({ IncarnationKey(keys_[index] * 0x9e3779b97f4a7c15ULL), EndpointFailureKind::Unreachable, 60, 1500ms });
        }
        std::sort(failures.begin(), failures.end());
        return failures;
    }

private:
    static double speedOf(std::size_t index, MonotonicTime now)
    {
        constexpr double Speeds[] = { 0.6, 1.0, 1.6 };
        constexpr double TokensPerMillisecond = 54.6;
        const auto period = static_cast<std::size_t>(now.time_since_epoch() / 10s);
        const bool isSlowed = (index * 7919 + period * 104729) % 100 < 15;
        return TokensPerMillisecond * Speeds[index % 3] / (isSlowed ? 2.5 : 1);
    }

    std::mt19937_64 random_{ 20261204 };
    std::vector<EndpointKey> keys_;
    std::map<EndpointKey, std::pair<ObservationWeight, MonotonicTime>> own_;
};

/// The bytes that the fields for the state of endpoints add to the messages of a gateway.
struct Sizes {
    double bytesPerSecond_ = 0;
    std::size_t largestQuery_ = 0;
    std::size_t largestAnswer_ = 0;
};

Sizes sizesWith(std::size_t endpoints, bool isFailing)
{
    const std::vector<ServiceKey> services{ 4000000001U, 4000000002U, 4000000003U };
    const auto emptyBytes = relaymessagecodec::encode(RelayQuery()).size() + relaymessagecodec::encode(RelayAnswer()).size();
    Traffic traffic(endpoints);
    ObservationUpdates fromGateway;
    EndpointStateUpdates toGateway;
    std::size_t bytes = 0;
    Sizes sizes;
    for (auto now = Start; now < Start + Duration; now += QueryInterval) {
        RelayQuery query;
        RelayAnswer answer;
        const auto own = traffic.ofGateway(now);
        query.observations_ = fromGateway.isDue(now) ? fromGateway.take(own, now) : EndpointObservations();
        answer.observations_ = toGateway.observations_.isDue(now) ? toGateway.observations_.take(traffic.ofFleet(now), now) : EndpointObservations();
        answer.failures_ = toGateway.failures_.take(isFailing ? traffic.failures() : EndpointFailures(), now);
        for (const auto service : services) {
            query.retryDeposits_.push_back({ service, 1000, service % 2 == 0 });
            answer.retryGrants_.push_back({ service, 200 });
        }
        const auto queryBytes = relaymessagecodec::encode(query).size();
        const auto answerBytes = relaymessagecodec::encode(answer).size();
        bytes += queryBytes + answerBytes - emptyBytes;
        sizes.largestQuery_ = std::max(sizes.largestQuery_, queryBytes);
        sizes.largestAnswer_ = std::max(sizes.largestAnswer_, answerBytes);
    }
    sizes.bytesPerSecond_ = static_cast<double>(bytes) / std::chrono::duration<double>(Duration).count();
    BOOST_TEST_MESSAGE(endpoints << " endpoints" << (isFailing ? ", one of seven failure domains lost: " : ": ") << sizes.bytesPerSecond_
                                 << " bytes a second; largest query " << sizes.largestQuery_ << ", largest answer " << sizes.largestAnswer_);
    return sizes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_bytes_of_the_state_of_endpoints)

BOOST_AUTO_TEST_CASE(stay_within_a_gateways_budget)
{
    // Guards against state that is all sent each time. 7 KB a second are for all control messages together.
    constexpr double Budget = 7000;
    for (const auto endpoints : { 60, 112, 890 }) {
        BOOST_TEST(sizesWith(endpoints, false).bytesPerSecond_ < Budget / 2);
        BOOST_TEST(sizesWith(endpoints, true).bytesPerSecond_ < Budget);
    }
}

BOOST_AUTO_TEST_CASE(are_nine_in_a_message_without_adaptive_serving)
{
    // Three keys with empty lists.
    const std::string empty = "\xa1"
                              "b\x90\xa1"
                              "i\x90\xa1"
                              "p\x90";
    BOOST_TEST(relaymessagecodec::encode(RelayQuery()).ends_with(empty));
    BOOST_TEST(relaymessagecodec::encode(RelayAnswer()).ends_with(empty));
}

BOOST_AUTO_TEST_SUITE_END()
