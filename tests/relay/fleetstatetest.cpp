#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include "platform/platformfleetcodec.h"
#include "relay/fleetstate.h"
#include "relay/relaymessagecodec.h"
#include "relay/textdelta.h"

using namespace cowsliphead;

namespace
{

constexpr MonotonicTime Now(std::chrono::hours(1));

std::string configurationText(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::vector<EndpointEntry> endpoints(int count)
{
    std::vector<EndpointEntry> entries;
    for (int number = 0; number < count; ++number) {
        EndpointEntry entry;
        entry.id_ = EndpointId("e" + std::to_string(number));
        entry.address_ = SocketAddress{ "10.0.0.1", 80 };
        entry.stage_ = number % 2 == 0 ? EngineStage::Prefill : EngineStage::Decode;
        entries.push_back(entry);
    }
    return entries;
}

/// A relay and a gateway that asks it.
struct Pair {
    using State = FleetState<PlatformFleetCodec>;

    void configure(const StoreRevision &revision, int version)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->revision_ = revision;
        configuration->version_ = static_cast<std::uint64_t>(version);
        relay_.setConfiguration(configuration, configurationText(version));
    }

    Result<bool> update()
    {
        const auto update = relay_.configurations().updateFor(member_.configurations().version());
        return update ? member_.applyConfiguration(*update) : Result<bool>(false);
    }

    /// The relay reads the endpoints from the store. Returns true if they have changed.
    bool read(const std::vector<EndpointEntry> &entries, const StoreRevision &revision)
    {
        EndpointList list{ revision, {} };
        for (const auto &entry : entries) {
            list.registrations_.push_back({ entry, 1, std::nullopt });
        }
        relay_.directory().replaceAll(list, std::nullopt);
        return relay_.endpointsRead();
    }

    /// The relay's update for a gateway that has the given version.
    EndpointUpdate updateFor(const TextVersion &known)
    {
        return *relay_.endpointUpdateFor(known, Now);
    }

    State relay_;
    State member_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_gateway_that_follows_a_relay)

BOOST_AUTO_TEST_CASE(takes_each_new_configuration_once)
{
    Pair pair;
    pair.configure(5, 1);
    BOOST_TEST(*pair.update());
    BOOST_TEST(!*pair.update());
    pair.configure(6, 2);
    BOOST_TEST(*pair.update());
    BOOST_TEST(pair.member_.snapshot().configuration_->version_ == 2U);
}

BOOST_AUTO_TEST_CASE(never_goes_back_when_it_follows_another_relay_that_is_behind)
{
    Pair pair;
    pair.configure(6, 2);
    BOOST_REQUIRE(*pair.update());
    Pair behind;
    behind.configure(5, 1);
    const auto older = behind.relay_.configurations().updateFor({});
    BOOST_TEST(!*pair.member_.applyConfiguration(*older));
    BOOST_TEST(!behind.relay_.configurations().updateFor(pair.member_.configurations().version()).has_value());
    BOOST_TEST(pair.member_.snapshot().configuration_->version_ == 2U);
}

BOOST_AUTO_TEST_CASE(asks_for_the_whole_text_if_it_lacks_the_base_of_an_update)
{
    Pair pair;
    pair.configure(5, 1);
    const auto first = pair.relay_.configurations().version();
    pair.configure(6, 2);
    const auto update = pair.relay_.configurations().updateFor(first);
    BOOST_TEST(update->baseDigest_ == first.digest_);
    BOOST_TEST(!pair.member_.applyConfiguration(*update).has_value());
    BOOST_TEST(*pair.member_.applyConfiguration(*pair.relay_.configurations().updateFor({})));
}

BOOST_AUTO_TEST_CASE(takes_the_endpoints_without_their_sequence_numbers)
{
    Pair pair;
    auto listed = endpoints(9);
    BOOST_TEST(pair.read(listed, 7));
    listed[3].sequence_ = 8;
    BOOST_TEST(!pair.read(listed, 8));
    BOOST_TEST(*pair.member_.applyEndpoints(pair.updateFor({}), Now));
    BOOST_TEST((*pair.member_.snapshot().endpoints_ == endpoints(9)));
}

BOOST_AUTO_TEST_CASE(agrees_with_the_relay_that_it_follows_after_another_gave_the_same_revision_to_another_list)
{
    // Guards against a gateway that applies a difference to a list which its new relay never had, and then keeps the old one: requests went to
    // endpoints that had left three seconds before (granite-lantern-grown, hunt-09e8-3).
    Pair former;
    former.read(endpoints(9), 7);
    Pair pair;
    pair.read(endpoints(8), 7);
    auto &member = pair.member_;
    BOOST_REQUIRE(*member.applyEndpoints(former.updateFor({}), Now));
    BOOST_TEST(*member.applyEndpoints(pair.updateFor(member.endpointVersion()), Now));
    BOOST_TEST(member.snapshot().endpoints_->size() == 8U);
    BOOST_TEST(!*member.applyEndpoints(former.updateFor({}), Now));
    BOOST_TEST(member.snapshot().endpoints_->size() == 8U);
    pair.read(endpoints(7), 8);
    BOOST_TEST(*member.applyEndpoints(pair.updateFor(member.endpointVersion()), Now));
    BOOST_TEST(member.snapshot().endpoints_->size() == 7U);
}

BOOST_AUTO_TEST_CASE(refuses_an_update_against_another_base)
{
    Pair former;
    former.read(endpoints(9), 7);
    Pair pair;
    pair.read(endpoints(8), 7);
    const auto known = pair.relay_.endpointVersion();
    pair.read(endpoints(7), 8);
    BOOST_REQUIRE(*pair.member_.applyEndpoints(former.updateFor({}), Now));
    BOOST_TEST(!pair.member_.applyEndpoints(pair.updateFor(known), Now).has_value());
    BOOST_TEST(pair.member_.endpointVersion().revision_ == 7U);
}

BOOST_AUTO_TEST_CASE(takes_a_change_of_endpoints_that_the_store_did_not_change)
{
    Pair pair;
    pair.read(endpoints(9), 7);
    BOOST_TEST(pair.read(endpoints(8), 7));
    BOOST_TEST(*pair.member_.applyEndpoints(pair.updateFor({}), Now));
    BOOST_TEST(pair.member_.snapshot().endpoints_->size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against gateways that hold on to what was read before the store came back from a copy (review/11).
BOOST_AUTO_TEST_SUITE(a_gateway_that_follows_a_relay_of_a_store_that_came_back_from_a_copy)

BOOST_AUTO_TEST_CASE(takes_a_newer_configuration_of_a_lower_revision)
{
    Pair pair;
    pair.configure({ 1, 100 }, 9);
    BOOST_REQUIRE(*pair.update());
    pair.configure({ 2, 60 }, 9);
    BOOST_TEST(*pair.update());
    pair.configure({ 2, 70 }, 12);
    BOOST_TEST(*pair.update());
    BOOST_TEST((pair.member_.configurations().revision() == StoreRevision(2, 70)));
    BOOST_TEST(pair.member_.snapshot().configuration_->version_ == 12U);
}

BOOST_AUTO_TEST_CASE(keeps_the_newer_version_that_the_store_has_lost)
{
    // The relay started after the drill and has never seen version 12, which took a key away.
    Pair pair;
    pair.configure({ 1, 100 }, 12);
    BOOST_REQUIRE(*pair.update());
    Pair started;
    started.configure({ 2, 60 }, 9);
    const auto older = started.relay_.configurations().updateFor(pair.member_.configurations().version());
    BOOST_REQUIRE(older.has_value());
    BOOST_TEST(!*pair.member_.applyConfiguration(*older));
    BOOST_TEST(pair.member_.snapshot().configuration_->version_ == 12U);
    BOOST_TEST((pair.member_.configurations().revision() == StoreRevision(1, 100)));
    started.configure({ 2, 66 }, 12);
    BOOST_TEST(*pair.member_.applyConfiguration(*started.relay_.configurations().updateFor(pair.member_.configurations().version())));
}

BOOST_AUTO_TEST_CASE(does_not_go_back_with_a_relay_that_has_not_noticed)
{
    Pair late;
    late.configure({ 1, 100 }, 9);
    late.read(endpoints(9), { 1, 100 });
    Pair pair;
    pair.configure({ 2, 60 }, 10);
    pair.read(endpoints(8), { 2, 61 });
    BOOST_REQUIRE(*pair.update());
    BOOST_REQUIRE(*pair.member_.applyEndpoints(pair.updateFor({}), Now));
    BOOST_TEST(!*pair.member_.applyConfiguration(*late.relay_.configurations().updateFor({})));
    BOOST_TEST(!*pair.member_.applyEndpoints(late.updateFor({}), Now));
    BOOST_TEST(pair.member_.snapshot().configuration_->version_ == 10U);
    BOOST_TEST(pair.member_.snapshot().endpoints_->size() == 8U);
}

BOOST_AUTO_TEST_CASE(takes_its_endpoints)
{
    Pair pair;
    pair.read(endpoints(9), { 1, 100 });
    BOOST_REQUIRE(*pair.member_.applyEndpoints(pair.updateFor({}), Now));
    pair.read(endpoints(8), { 2, 61 });
    BOOST_TEST(*pair.member_.applyEndpoints(pair.updateFor(pair.member_.endpointVersion()), Now));
    BOOST_TEST(pair.member_.snapshot().endpoints_->size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_update_of_a_text)

RC_BOOST_PROP(leads_from_any_version_to_the_newest, (const std::vector<std::string> &texts, std::uint8_t known))
{
    TextHistory relay;
    TextHistory member;
    std::uint64_t revision = 0;
    for (const auto &text : texts) {
        relay.add(++revision, text);
        if (revision == known % 16U) {
            member.add(revision, text);
        }
    }
    const auto update = relay.updateFor(member.version());
    if (update) {
        RC_ASSERT(member.apply(*update).value_or(false));
    }
    RC_ASSERT(member.text() == relay.text() || texts.empty());
}

BOOST_AUTO_TEST_CASE(costs_the_size_of_the_change)
{
    std::string text;
    for (int number = 0; number < 2000; ++number) {
        text += "\"key-" + std::to_string(number * 7919) + "\",";
    }
    const auto changed = text + "\"added\"";
    BOOST_TEST(textdelta::compress(changed, text).size() < 200U);
}

BOOST_AUTO_TEST_CASE(that_claims_a_huge_text_is_refused)
{
    const std::string text(textdelta::MaxTextBytes + 1, 'a');
    BOOST_TEST(!textdelta::expand(textdelta::compress(text, {}), {}).has_value());
    BOOST_TEST(!textdelta::expand("no such text", {}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(messages_between_gateways)

BOOST_AUTO_TEST_CASE(keep_all_their_fields)
{
    const GatewayMember member{ InstanceId("g-1"), FailureDomain("a"), { "10.0.0.1", 9 } };
    RelayQuery query;
    query.from_ = member;
    query.isFromRelay_ = true;
    query.isLeaving_ = true;
    query.unusableRelay_ = PeerAddress{ "10.0.0.2", 8 };
    query.configuration_ = { { 7, 3 }, 33 };
    query.endpoints_ = { { 8, 4 }, 44 };
    query.membersOf_ = InstanceId("g-2");
    query.members_ = 5;
    query.loads_ = { { 1, 2, 3 }, { 2, 0, 7 } };
    query.counts_ = { { InstanceId("g-1"), 2, { 9, { { AccountId("press"), 4 } }, true } } };
    const auto decodedQuery = relaymessagecodec::decodeQuery(relaymessagecodec::encode(query));
    BOOST_REQUIRE(decodedQuery.has_value());
    BOOST_TEST(relaymessagecodec::encode(*decodedQuery) == relaymessagecodec::encode(query));
    BOOST_TEST((decodedQuery->configuration_ == query.configuration_));
    BOOST_TEST((decodedQuery->endpoints_ == query.endpoints_));
    BOOST_TEST((decodedQuery->loads_ == query.loads_));
    BOOST_TEST(decodedQuery->counts_.at(0).gateway_.value() == "g-1");
    RelayAnswer answer;
    answer.from_ = member;
    answer.status_ = { true, true, false, true, PeerAddress{ "10.0.0.3", 7 } };
    answer.configurationAge_ = std::chrono::milliseconds(12);
    answer.endpointUpdate_ = EndpointUpdate{ TextUpdate{ { 9, 4 }, 3, 2, "bytes" }, { { 7, std::chrono::milliseconds(1500) } } };
    answer.configuration_ = { 8, 6 };
    answer.endpoints_ = { 9, 5 };
    answer.members_ = { member };
    answer.gateways_ = 340;
    answer.stored_ = { { {}, 9, 2 } };
    const auto decodedAnswer = relaymessagecodec::decodeAnswer(relaymessagecodec::encode(answer));
    BOOST_REQUIRE(decodedAnswer.has_value());
    BOOST_TEST(relaymessagecodec::encode(*decodedAnswer) == relaymessagecodec::encode(answer));
    BOOST_TEST((decodedAnswer->members_ == answer.members_));
    BOOST_TEST((decodedAnswer->endpointUpdate_->leases_.at(0).remaining_ == std::chrono::milliseconds(1500)));
    BOOST_TEST((decodedAnswer->configuration_ == answer.configuration_));
    BOOST_TEST((decodedAnswer->endpoints_ == answer.endpoints_));
    BOOST_TEST((decodedAnswer->endpointUpdate_->list_.revision_ == StoreRevision(9, 4)));
    BOOST_TEST(decodedAnswer->tellsEras_);
    BOOST_TEST(decodedAnswer->status_.isStoreLost_ == false);
}

BOOST_AUTO_TEST_CASE(let_no_entry_be_kept_longer_than_any_relay_would)
{
    RelayAnswer answer;
    answer.endpointUpdate_ = EndpointUpdate{ {}, { { 7, std::chrono::hours(1) } } };
    const auto decoded = relaymessagecodec::decodeAnswer(relaymessagecodec::encode(answer));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->endpointUpdate_->leases_.at(0).remaining_ == EndpointLease::MaxRemaining));
}

BOOST_AUTO_TEST_CASE(with_loads_out_of_order_are_refused)
{
    RelayQuery query;
    query.loads_ = { { 2, 1, 0 }, { 1, 1, 0 } };
    BOOST_TEST(!relaymessagecodec::decodeQuery(relaymessagecodec::encode(query)).has_value());
}

BOOST_AUTO_TEST_CASE(of_another_format_are_refused)
{
    // Guards against gateways of two versions that misread each other's lists of endpoints during a rolling restart. An empty map, whose fields
    // all have their defaults, is a message of the first format.
    const std::string emptyMap = "\x80";
    BOOST_TEST(!relaymessagecodec::decodeQuery(emptyMap).has_value());
    BOOST_TEST(!relaymessagecodec::decodeAnswer(emptyMap).has_value());
}

BOOST_AUTO_TEST_CASE(of_the_version_before_tell_no_eras)
{
    RelayAnswer answer;
    answer.tellsEras_ = false;
    answer.configuration_ = 6;
    answer.endpoints_ = 5;
    const auto decoded = relaymessagecodec::decodeAnswer(relaymessagecodec::encode(answer));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(!decoded->tellsEras_);
    BOOST_TEST(decoded->configuration_ == 6U);
    BOOST_TEST(decoded->endpoints_ == 5U);
}

RC_BOOST_PROP(made_of_arbitrary_bytes_do_no_harm, (const std::string &bytes))
{
    relaymessagecodec::decodeQuery(bytes);
    relaymessagecodec::decodeAnswer(bytes);
}

BOOST_AUTO_TEST_SUITE_END()
