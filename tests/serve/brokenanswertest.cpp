#include <boost/test/unit_test.hpp>

#include <csignal>

#include <nlohmann/json.hpp>

#include "answers/brokenanswers.h"
#include "gateway/rawendpoint.h"
#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "records/change.h"
#include "records/recordset.h"
#include "serve/servebehaviour.h"

using namespace cowsliphead;
using namespace std::chrono_literals;

namespace
{

constexpr auto CallTimeout = 30s;

/// Shorter than the time-outs of the routes.
constexpr auto BeforeTimeout = 10s;

const std::string Id = "X-Request-Id: ID\r\n";

/// More than the kernel buffers for a server that does not read, and less than a caller may send.
const std::string Upload(std::size_t{ 7 } << 20U, 'u');

/// What the caller received.
struct Answer {
    int status_ = 0;
    std::string outcome_;
    std::string body_;
    bool isComplete_ = false;
    std::chrono::nanoseconds duration_{ 0 };
};

/// A serving task in front of two plain services, which give the same answer, and one caller, all in one event loop. Requests to /safe may be
/// repeated.
class Services
{
public:
    explicit Services(const RawEndpoint::Script &answer)
        : first_(loop_, { answer }, "X-Request-Id")
        , second_(loop_, { answer }, "X-Request-Id")
        , serve_(loop_, ServeSettings{}, ServeLinks{})
        , port_(*serve_.listen())
    {
        // As in the program: a write to a closed connection must fail instead of terminating the process.
        std::signal(SIGPIPE, SIG_IGN);
        put("policy", "default", { { "maxAttempts", 2 }, { "retryPercent", 100 } });
        put("route", "once", { { "pathPrefix", "/once" }, { "service", "s" }, { "open", true }, { "timeoutMs", CallTimeout / 1ms } });
        put("route", "safe", { { "pathPrefix", "/safe" }, { "service", "s" }, { "open", true }, { "idempotent", true }, { "timeoutMs", CallTimeout / 1ms } });
        putEndpoint("first", first_.port());
        putEndpoint("second", second_.port());
    }

    Answer post(const std::string &path, const std::string &body = {})
    {
        serve_.receive(RecordSnapshot(records_));
        HttpClient client(loop_, "127.0.0.1", port_, CallTimeout);
        Answer answer;
        HttpCallEvents events;
        events.onHead_ = [&](const HttpResponseHead &head) {
            answer.status_ = head.status_;
            answer.outcome_ = headerValue(head.headers_, "Cowsliphead-Outcome");
        };
        events.onData_ = [&](std::string_view data) { answer.body_.append(data); };
        events.onEnd_ = [&](const tl::expected<void, HttpCallFailure> &end) {
            answer.isComplete_ = end.has_value();
            loop_.stop();
        };
        const auto startedAt = std::chrono::steady_clock::now();
        const auto call = client.call({ HttpMethod::Post, path, {}, {}, body }, std::move(events));
        loop_.run();
        answer.duration_ = std::chrono::steady_clock::now() - startedAt;
        return answer;
    }

    /// Requests that the two services have received together.
    std::size_t arrivals() const
    {
        return first_.requests().size() + second_.requests().size();
    }

private:
    void put(const std::string &kind, const std::string &name, nlohmann::json fields)
    {
        fields.update({ { "schema", 2 }, { "kind", kind }, { "name", name } });
        records_ = records_->after({ records_->revision() + 1, ChangeId("c"), ChangeAction::Put, RecordKey{ kind, name }, fields.dump() });
    }

    void putEndpoint(const std::string &name, std::uint16_t port)
    {
        put("endpoint", name, { { "host", "127.0.0.1" }, { "port", port }, { "failureDomain", "d" }, { "serves", "service" }, { "service", "s" } });
    }

    EventLoop loop_;
    RawEndpoint first_;
    RawEndpoint second_;
    ServeBehaviour serve_;
    std::uint16_t port_;
    std::shared_ptr<const RecordSet> records_ = std::make_shared<const RecordSet>();
};

/// The caller is told, before any time-out, that its request may have run; it runs at another service only if it may be repeated.
void checkOutcomeIsUnknown(const brokenanswers::Answers &answers, const std::string &upload = {})
{
    for (const auto &answer : answers) {
        for (const auto *path : { "/once", "/safe" }) {
            BOOST_TEST_CONTEXT(path << ": " << brokenanswers::describe(answer))
            {
                Services services(answer);
                const auto received = services.post(path, upload);
                BOOST_TEST(received.status_ >= 500);
                BOOST_TEST(received.status_ < 600);
                BOOST_TEST(received.outcome_ == "unknown");
                BOOST_TEST(received.body_.find("part") == std::string::npos);
                BOOST_TEST(received.isComplete_);
                BOOST_TEST((received.duration_ < BeforeTimeout));
                BOOST_TEST(services.arrivals() == (path == std::string("/safe") ? 2U : 1U));
            }
        }
    }
}

} // namespace

// Guards against a service in trouble whose broken answer reaches the caller of a daemon.
BOOST_AUTO_TEST_SUITE(a_broken_answer_of_a_service)

BOOST_AUTO_TEST_SUITE(does_not_reach_the_caller)

BOOST_AUTO_TEST_CASE(if_its_status_is_invalid)
{
    checkOutcomeIsUnknown(brokenanswers::withInvalidStatus(Id, "part"));
}

BOOST_AUTO_TEST_CASE(if_a_field_name_is_invalid)
{
    checkOutcomeIsUnknown(brokenanswers::withInvalidFieldName(Id, "part"));
}

BOOST_AUTO_TEST_CASE(if_a_line_of_its_head_is_invalid)
{
    checkOutcomeIsUnknown(brokenanswers::withInvalidHeadLine(Id, "part"));
}

BOOST_AUTO_TEST_CASE(if_it_is_cut_off_before_the_upload_is_written)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + Id;
    for (const auto &bytes : { head + "\r\npart", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n" }) {
        checkOutcomeIsUnknown(brokenanswers::cutOff(bytes), Upload);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
