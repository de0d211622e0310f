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
        : stub_(loop_, [this, answer = std::move(answer)](const CallerRequest &request) {
            lastRequest_ = request;
            return answer;
        })
    {
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
    HttpStub stub_;
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

Result<WatchAnswer> watch(StoreFixture &fixture)
{
    return fixture.ask<WatchAnswer>([](PlatformStore &store, const StoreReply<WatchAnswer> &reply) { store.watch("", 411, 200ms, reply); });
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

BOOST_AUTO_TEST_SUITE_END()
