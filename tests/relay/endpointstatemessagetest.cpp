#include <boost/test/unit_test.hpp>

#include "peer/messagepack.h"
#include "relay/relaymessagecodec.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// A message of another version: of the same format, without the fields for the state of endpoints, and with one that this version lacks.
struct OtherVersion {
    std::uint32_t format_ = 3;
    std::uint32_t added_ = 7;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("z", format_), MSGPACK_NVP("added", added_))
};

/// A query whose entries for the state of endpoints are given as they are on the wire.
template <typename Observation, typename Failure, typename Deposit>
struct RawQuery {
    std::vector<Observation> observations_;
    std::vector<Failure> failures_;
    std::vector<Deposit> deposits_;
    std::uint32_t format_ = 3;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("z", format_), MSGPACK_NVP("b", observations_), MSGPACK_NVP("i", failures_), MSGPACK_NVP("p", deposits_))
};

using Numbers = std::vector<std::uint64_t>;

bool isRefused(std::vector<Numbers> observations, std::vector<Numbers> failures, std::vector<Numbers> deposits)
{
    const auto query = relaymessagecodec::decodeQuery(
        messagepack::pack(RawQuery<Numbers, Numbers, Numbers>{ std::move(observations), std::move(failures), std::move(deposits) }));
    return !query && query.error() == ErrorCode::CodecMalformed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(messages_with_the_state_of_endpoints)

BOOST_AUTO_TEST_CASE(keep_all_their_fields)
{
    const EndpointObservations observations{ { 1, 13300, 280ms }, { 4000000000U, 5, 1ms } };
    const EndpointFailures failures{ { IncarnationKey(7), EndpointFailureKind::Unreachable, 2, 1200ms },
                                     { IncarnationKey(7), EndpointFailureKind::Replaced, 1, 0ms } };
    RelayQuery query;
    query.observations_ = observations;
    query.failures_ = failures;
    query.retryDeposits_ = { { 9, 40, true }, { 8, 3, false } };
    const auto decodedQuery = relaymessagecodec::decodeQuery(relaymessagecodec::encode(query));
    BOOST_REQUIRE(decodedQuery.has_value());
    BOOST_TEST((decodedQuery->observations_ == observations));
    BOOST_TEST((decodedQuery->failures_ == failures));
    BOOST_TEST((decodedQuery->retryDeposits_ == query.retryDeposits_));
    RelayAnswer answer;
    answer.observations_ = observations;
    answer.failures_ = failures;
    answer.retryGrants_ = { { 9, 2 } };
    const auto decodedAnswer = relaymessagecodec::decodeAnswer(relaymessagecodec::encode(answer));
    BOOST_REQUIRE(decodedAnswer.has_value());
    BOOST_TEST((decodedAnswer->observations_ == observations));
    BOOST_TEST((decodedAnswer->failures_ == failures));
    BOOST_TEST((decodedAnswer->retryGrants_ == answer.retryGrants_));
}

BOOST_AUTO_TEST_SUITE(during_a_rolling_restart)

BOOST_AUTO_TEST_CASE(are_read_if_fields_are_missing_or_unknown)
{
    // Guards against a new format number, which would make gateways of the two versions follow different relays.
    const auto bytes = messagepack::pack(OtherVersion{});
    const auto query = relaymessagecodec::decodeQuery(bytes);
    BOOST_REQUIRE(query.has_value());
    BOOST_TEST((query->observations_.empty() && query->failures_.empty() && query->retryDeposits_.empty()));
    const auto answer = relaymessagecodec::decodeAnswer(bytes);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->observations_.empty() && answer->failures_.empty() && answer->retryGrants_.empty()));
}

BOOST_AUTO_TEST_CASE(are_read_by_a_version_that_does_not_know_the_fields)
{
    RelayQuery query;
    query.observations_ = { { 1, 2, 3ms } };
    query.retryDeposits_ = { { 9, 40, true } };
    const auto read = messagepack::unpack<OtherVersion>(relaymessagecodec::encode(query));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->format_ == 3U);
}

BOOST_AUTO_TEST_CASE(may_lack_the_flag_of_a_deposit)
{
    const auto query = relaymessagecodec::decodeQuery(messagepack::pack(RawQuery<Numbers, Numbers, Numbers>{ {}, {}, { { 9, 40 } } }));
    BOOST_REQUIRE(query.has_value());
    BOOST_TEST((query->retryDeposits_ == RetryDeposits{ { 9, 40, false } }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_malformed_entries)

BOOST_AUTO_TEST_CASE(are_refused)
{
    // Guards against sums over lists that are not in order, and against kinds outside the enumeration.
    BOOST_TEST(!isRefused({ { 1, 2, 3 }, { 2, 2, 3 } }, { { 7, 1, 1, 5 }, { 7, 2, 1, 5 } }, {}));
    BOOST_TEST(isRefused({ { 2, 2, 3 }, { 1, 2, 3 } }, {}, {}));
    BOOST_TEST(isRefused({ { 1, 2, 3 }, { 1, 2, 3 } }, {}, {}));
    BOOST_TEST(isRefused({ { 1, 2, 1ULL << 32U } }, {}, {}));
    BOOST_TEST(isRefused({}, { { 7, 2, 1, 5 }, { 7, 1, 1, 5 } }, {}));
    BOOST_TEST(isRefused({}, { { 7, 0, 1, 5 } }, {}));
    BOOST_TEST(isRefused({}, { { 7, 4, 1, 5 } }, {}));
    BOOST_TEST(isRefused({}, { { 7, 1, 0, 5 } }, {}));
}

BOOST_AUTO_TEST_CASE(are_refused_if_a_service_occurs_twice)
{
    const RetryDeposits deposits{ { 9, 1, false }, { 8, 1, false }, { 9, 2, false } };
    RelayQuery query;
    query.retryDeposits_ = deposits;
    BOOST_TEST(!relaymessagecodec::decodeQuery(relaymessagecodec::encode(query)).has_value());
    RelayAnswer answer;
    answer.retryGrants_ = { { 9, 1 }, { 8, 1 }, { 9, 2 } };
    BOOST_TEST(!relaymessagecodec::decodeAnswer(relaymessagecodec::encode(answer)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
