#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "httpstub.h"
#include "platform/platformstore.h"
#include "task/timer.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

/// A store client with a stub server, and the last call that the server received.
struct StoreFixture {
    explicit StoreFixture(std::optional<HttpStub::Answer> answer)
        : answer_(std::move(answer))
    {
    }

    /// The store answers like this from now on, in an era.
    void answerInEra(StoreEra era, std::string body)
    {
        answer_ = HttpStub::Answer{ 200, std::move(body), { { "Store-Era", std::to_string(era) } } };
    }

    /// Makes the call and runs the loop until it is answered.
    template <typename T, typename Call>
    Result<T> ask(Call call)
    {
        std::optional<Result<T>> result;
        call(store_, [this, &result](Result<T> answer) {
            result = std::move(answer);
            loop_.stop();
        });
        Timer limit(loop_, [this] { loop_.stop(); });
        limit.startOnce(5s);
        loop_.run();
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    EventLoop loop_;
    CallerRequest lastRequest_;
    int requests_ = 0;
    std::optional<HttpStub::Answer> answer_;
    HttpStub stub_{ loop_, [this](const CallerRequest &request) {
                       lastRequest_ = request;
                       ++requests_;
                       return answer_;
                   } };
    PlatformStore store_{ loop_, stub_.address() };
};

Result<StoreRevision> swap(StoreFixture &fixture)
{
    StoreWrite write;
    write.key_ = "a/b";
    write.value_ = "node-1";
    write.expectedRevision_ = 4;
    write.lease_ = LeaseId("77");
    return fixture.ask<StoreRevision>([&](PlatformStore &store, const StoreReply<StoreRevision> &reply) { store.compareAndSwap(write, reply); });
}

Result<WatchAnswer> watch(StoreFixture &fixture, const StoreRevision &after = 411)
{
    return fixture.ask<WatchAnswer>([&after](PlatformStore &store, const StoreReply<WatchAnswer> &reply) { store.watch("", after, 200ms, reply); });
}

Result<std::optional<StoreEntry>> read(StoreFixture &fixture)
{
    return fixture.ask<std::optional<StoreEntry>>([](PlatformStore &store, const StoreReply<std::optional<StoreEntry>> &reply) { store.read("k", reply); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(the_platforms_store)

BOOST_AUTO_TEST_SUITE(a_conditional_write)

BOOST_AUTO_TEST_CASE(sends_revision_value_and_lease)
{
    StoreFixture fixture(HttpStub::Answer{ 200, R"({"revision":412})" });
    BOOST_TEST(*swap(fixture) == 412U);
    BOOST_TEST(fixture.lastRequest_.head_.target_ == "/api/kv-txn");
    const auto body = nlohmann::json::parse(fixture.lastRequest_.body_);
    BOOST_TEST(body["expected"][0]["revision"] == 4);
    BOOST_TEST(body["puts"][0]["value"] == "bm9kZS0x");
    BOOST_TEST(body["puts"][0]["lease"] == 77);
}

BOOST_AUTO_TEST_CASE(fails_with_the_error_for_the_status)
{
    StoreFixture conflict(HttpStub::Answer{ 412, R"({"items":[]})" });
    BOOST_TEST(swap(conflict).error() == ErrorCode::StoreConflict);
    StoreFixture noLease(HttpStub::Answer{ 404, "{}" });
    BOOST_TEST(swap(noLease).error() == ErrorCode::StoreLeaseUnknown);
    StoreFixture busy(HttpStub::Answer{ 429, "" });
    BOOST_TEST(swap(busy).error() == ErrorCode::StoreUnavailable);
}

BOOST_AUTO_TEST_CASE(without_an_answer_may_have_taken_effect)
{
    StoreFixture fixture(std::nullopt);
    BOOST_TEST(swap(fixture).error() == ErrorCode::StoreUnavailable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_watch)

BOOST_AUTO_TEST_CASE(returns_writes_and_removals)
{
    StoreFixture fixture(HttpStub::Answer{
        200,
        R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412,"createRev":412,"lease":0},{"key":"b","revision":413,"removed":true}],"currentRev":413})" });
    const auto answer = watch(fixture);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->revision_ == 413U);
    BOOST_TEST(answer->entries_[0].value_ == "node-1");
    BOOST_TEST(answer->entries_[1].isErased_);
    BOOST_TEST(fixture.lastRequest_.head_.target_ == "/api/kv-watch?prefix=&after=411&waitMs=200");
}

BOOST_AUTO_TEST_CASE(reports_that_its_history_is_gone)
{
    StoreFixture fixture(HttpStub::Answer{ 410, "" });
    BOOST_TEST(watch(fixture).error() == ErrorCode::StoreHistoryGone);
}

BOOST_AUTO_TEST_CASE(that_cannot_be_read_is_malformed)
{
    StoreFixture fixture(HttpStub::Answer{ 200, R"({"events":[{"key":1}],"currentRev":"x"})" });
    BOOST_TEST(watch(fixture).error() == ErrorCode::StoreAnswerMalformed);
}

BOOST_AUTO_TEST_CASE(without_an_answer_times_out)
{
    StoreFixture fixture(std::nullopt);
    BOOST_TEST(watch(fixture).error() == ErrorCode::StoreUnavailable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_read)

BOOST_AUTO_TEST_CASE(of_an_absent_key_returns_nothing)
{
    StoreFixture fixture(HttpStub::Answer{ 404, "{}" });
    const auto answer = read(fixture);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(!answer->has_value());
}

BOOST_AUTO_TEST_CASE(returns_the_value)
{
    StoreFixture fixture(HttpStub::Answer{ 200, R"({"key":"k","value":"bm9kZS0x","revision":9,"createRev":1,"lease":0,"currentRev":10})" });
    BOOST_TEST((*read(fixture))->value_ == "node-1");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against facts of two eras that are taken for facts of one: the store gives out its numbers again after it came back from a copy (review/11
// to /14).
BOOST_AUTO_TEST_SUITE(that_tells_its_era)

constexpr const char *Item = R"({"key":"k","value":"bm9kZS0x","revision":9,"createRev":1,"lease":0,"currentRev":10})";
constexpr const char *NoEvents = R"({"events":[],"currentRev":420})";

BOOST_AUTO_TEST_CASE(has_it_in_each_revision)
{
    StoreFixture fixture(std::nullopt);
    fixture.answerInEra(3, Item);
    BOOST_TEST(((*read(fixture))->revision_ == StoreRevision(3, 9)));
    BOOST_TEST(fixture.store_.era() == 3U);
}

BOOST_AUTO_TEST_CASE(is_one_without_eras_if_the_field_cannot_be_read)
{
    for (const auto *text : { "", "x", "-1", "3x", "99999999999999999999" }) {
        StoreFixture fixture(HttpStub::Answer{ 200, Item, { { "Store-Era", text } } });
        BOOST_TEST(((*read(fixture))->revision_ == StoreRevision(0, 9)));
    }
}

BOOST_AUTO_TEST_SUITE(and_came_back_from_a_copy)

BOOST_AUTO_TEST_CASE(has_no_history_for_a_watch_from_the_era_before)
{
    // The store's counter may have passed the number by then, so that it answers as if nothing had happened.
    StoreFixture fixture(std::nullopt);
    fixture.answerInEra(2, NoEvents);
    BOOST_TEST(watch(fixture, { 1, 411 }).error() == ErrorCode::StoreHistoryGone);
    BOOST_TEST(watch(fixture, { 2, 411 }).has_value());
}

BOOST_AUTO_TEST_CASE(does_not_get_a_write_that_relies_on_the_era_before)
{
    StoreFixture fixture(std::nullopt);
    fixture.answerInEra(2, Item);
    BOOST_REQUIRE(read(fixture).has_value());
    const auto requests = fixture.requests_;
    BOOST_TEST(swap(fixture).error() == ErrorCode::StoreConflict);
    BOOST_TEST(fixture.requests_ == requests);
}

BOOST_AUTO_TEST_CASE(has_not_met_the_condition_of_a_write_that_tells_the_new_era)
{
    StoreFixture fixture(std::nullopt);
    fixture.answerInEra(2, R"({"revision":412})");
    BOOST_TEST(swap(fixture).error() == ErrorCode::StoreConflict);
}

BOOST_AUTO_TEST_CASE(does_not_renew_the_lease_that_it_granted_before)
{
    // Guards against a holder that goes on with the lease of another process, which got the same number.
    StoreFixture fixture(std::nullopt);
    fixture.answerInEra(1, R"({"lease":77,"ttlMs":3000})");
    const auto lease = fixture.ask<LeaseId>([](PlatformStore &store, const StoreReply<LeaseId> &reply) { store.grantLease(3s, reply); });
    const auto renew = [&] {
        return fixture.ask<LeaseId>([&lease](PlatformStore &store, const StoreReply<LeaseId> &reply) { store.renewLease(*lease, reply); });
    };
    BOOST_TEST((*renew() == *lease));
    BOOST_TEST(fixture.lastRequest_.head_.target_ == "/api/kv-keep/77");
    fixture.answerInEra(2, "{}");
    BOOST_TEST((*renew() != *lease));
    BOOST_TEST(renew().error() == ErrorCode::StoreLeaseUnknown);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
