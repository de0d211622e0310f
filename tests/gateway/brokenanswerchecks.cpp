#include "brokenanswerchecks.h"

#include <boost/test/unit_test.hpp>

#include "gatewayfixture.h"

using namespace cowsliphead;

namespace brokenanswerchecks
{

namespace
{

const std::string WholeAnswer = brokenanswers::wholeAnswer("200", Fields, "body");
const RawEndpoint::Script PartOfAStream{ "HTTP/1.1 200 OK\r\n" + Fields + "\r\nid: 1\ndata: a\n\nid: 2\ndat", true };
const RawEndpoint::Script Event{ brokenanswers::wholeAnswer("200", Fields, "id: 1\n\n") };

GatewayFixture::Answer send(GatewayFixture &fixture, const std::string &path, const std::string &upload)
{
    return fixture.sendRequest(path, { { "X-Api-Key", "key-1" } }, upload.empty() ? "GET" : "POST", upload);
}

} // namespace

void checkDoesNotReachTheCaller(const brokenanswers::Answers &answers, const std::vector<std::string> &paths, const std::string &upload)
{
    for (const auto &answer : answers) {
        for (const auto &path : paths) {
            BOOST_TEST_CONTEXT(path << ": " << brokenanswers::describe(answer))
            {
                GatewayFixture fixture;
                fixture.addEndpoint({ answer });
                const auto received = send(fixture, path, upload);
                BOOST_TEST(received.status_ == 502);
                BOOST_TEST(headerValue(received.headers_, "Retry-After").empty());
                BOOST_TEST(received.isComplete_);
                BOOST_TEST((received.duration_ < BeforeTimeout));
            }
        }
    }
}

void checkIsRepeatedOnlyIfAllowed(const brokenanswers::Answers &answers, const std::string &upload)
{
    for (const auto &answer : answers) {
        BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
        {
            GatewayFixture safe;
            safe.addEndpoint({ answer });
            safe.addEndpoint({ { .bytes_ = WholeAnswer, .awaitedBytes_ = upload.size() } });
            const auto received = send(safe, "/safe/x", upload);
            BOOST_TEST(received.status_ == 200);
            BOOST_TEST(received.body_ == "body");
            BOOST_TEST((received.duration_ < BeforeTimeout));
            GatewayFixture once;
            once.addEndpoint({ answer });
            auto &second = once.addEndpoint({ { WholeAnswer } });
            BOOST_TEST(send(once, "/once/x", upload).status_ == 502);
            BOOST_TEST(second.requests().empty());
        }
    }
}

void checkBreaksTheStreamOff(const brokenanswers::Answers &answers)
{
    for (const auto &answer : answers) {
        BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
        {
            GatewayFixture fixture;
            fixture.addEndpoint({ PartOfAStream });
            fixture.addEndpoint({ answer });
            const auto received = fixture.sendRequest("/stream/x");
            BOOST_TEST(received.status_ == 200);
            BOOST_TEST(received.body_ == "id: 1\ndata: a\n\n");
            BOOST_TEST(!received.isComplete_);
            BOOST_TEST((received.duration_ < BeforeTimeout));
        }
    }
}

void checkIsFollowedByARunWithoutCache(const brokenanswers::Answers &answers)
{
    for (const auto &answer : answers) {
        BOOST_TEST_CONTEXT(brokenanswers::describe(answer))
        {
            GatewayFixture fixture;
            fixture.useAdaptiveServing();
            auto &prefill = fixture.addEngine(EngineStage::Prefill, { answer });
            auto &decode = fixture.addEngine(EngineStage::Decode, { Event });
            const auto received = fixture.sendRequest("/engine/x", { { "X-Api-Key", "key-1" }, { "X-Token-Count", "5000,10" } });
            BOOST_TEST(received.status_ == 200);
            BOOST_TEST((received.duration_ < BeforeTimeout));
            BOOST_TEST(!prefill.requests().empty());
            BOOST_REQUIRE(decode.requests().size() == 1U);
            BOOST_TEST(decode.requests()[0].find("X-Kv-Source") == std::string::npos);
        }
    }
}

} // namespace brokenanswerchecks
