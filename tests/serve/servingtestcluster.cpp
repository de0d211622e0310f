#include "serve/servingtestcluster.h"

#include <csignal>
#include <sstream>

#include <nlohmann/json.hpp>

#include "core/sha256.h"
#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "records/change.h"
#include "records/recordset.h"
#include "task/listening.h"
#include "task/timer.h"

namespace cowsliphead
{

namespace
{

constexpr const char *Loopback = "127.0.0.1";
constexpr const char *Key = "key-of-the-test";
constexpr const char *CompletionPath = "/v1/chat/completions";
constexpr std::chrono::seconds CallTimeout{ 30 };
constexpr std::chrono::milliseconds PollInterval{ 5 };

/// A call in progress and the answer received so far.
struct PendingCall {
    CallerAnswer answer_;
    std::shared_ptr<HttpCall> call_;
    std::unique_ptr<HttpClient> client_;
};

nlohmann::json buildRecord(const std::string &kind, const std::string &name)
{
    return { { "schema", 2 }, { "kind", kind }, { "name", name } };
}

RecordSnapshot buildSnapshot(const std::vector<nlohmann::json> &records)
{
    auto set = std::make_shared<const RecordSet>();
    for (const auto &fields : records) {
        const RecordKey key{ fields["kind"], fields["name"] };
        set = set->after({ set->revision() + 1, ChangeId("c"), ChangeAction::Put, key, fields.dump() });
    }
    return set;
}

HttpRequest buildPost(const std::string &path, const std::string &body)
{
    return { HttpMethod::Post, path, {}, { { "Authorization", std::string("Bearer ") + Key } }, body };
}

HttpCallEvents collectInto(CallerAnswer &answer, std::function<void()> onEnd, std::function<void()> onFirstData = {})
{
    HttpCallEvents events;
    events.onHead_ = [&answer](const HttpResponseHead &head) {
        answer.status_ = head.status_;
        answer.outcome_ = headerValue(head.headers_, "Cowsliphead-Outcome");
    };
    events.onData_ = [&answer, onFirstData = std::move(onFirstData)](std::string_view data) {
        answer.text_ += data;
        if (onFirstData) {
            onFirstData();
        }
    };
    events.onEnd_ = [&answer, onEnd = std::move(onEnd)](const tl::expected<void, HttpCallFailure> &end) {
        answer.isComplete_ = end.has_value();
        onEnd();
    };
    return events;
}

std::string buildBody(const std::string &caller, int tokens, bool isStreamed)
{
    const nlohmann::json body = { { "model", "small" }, { "user", caller }, { "stream", isStreamed }, { "max_tokens", tokens } };
    return body.dump();
}

} // namespace

ServingTestCluster::ServingTestCluster(std::size_t engines, const std::string &policyFields, const DrainPolicy &drain)
    : drain_(drain)
{
    // As in the daemon: without this, writing to a closed connection would terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<nlohmann::json> records{
        buildRecord("account", "a"), buildRecord("model", "small"), buildRecord("key", sha256Hex(Key)), buildRecord("policy", "default")
    };
    records[2]["account"] = "a";
    if (!policyFields.empty()) {
        records[3].update(nlohmann::json::parse(policyFields));
    }
    for (std::size_t index = 0; index < engines; ++index) {
        engines_.push_back(std::make_unique<Task<EngineStandin>>());
        const auto port = startListening(
            *engines_.back(),
            [](EventLoop &loop) { return std::make_unique<EngineStandin>(loop, EngineOptions{}); },
            [](EngineStandin &engine) { return engine.listen(Loopback, 0); });
        enginePorts_.push_back(port.value());
        auto endpoint = buildRecord("endpoint", "e" + std::to_string(index));
        endpoint.update({ { "host", Loopback }, { "port", *port }, { "failureDomain", "d" }, { "serves", "engine" }, { "models", { "small" } } });
        records.push_back(endpoint);
    }
    ServeSettings settings;
    settings.instance_ = InstanceId("test");
    settings.drain_ = drain;
    port_ = startListening(
                serve_,
                [settings](EventLoop &loop) { return std::make_unique<ServeBehaviour>(loop, settings, ServeLinks{}); },
                [](ServeBehaviour &serve) { return serve.listen(); })
                .value();
    serve_.send(buildSnapshot(records));
}

void ServingTestCluster::setFaults(std::size_t engine, const std::string &json)
{
    call(enginePorts_.at(engine), "/standin/fault", json);
}

void ServingTestCluster::setFaults(const std::string &json)
{
    for (std::size_t engine = 0; engine < engineCount(); ++engine) {
        setFaults(engine, json);
    }
}

std::uint64_t ServingTestCluster::state(std::size_t engine, const std::string &name)
{
    CallerAnswer answer;
    waitUntil([&] {
        answer = call(enginePorts_.at(engine), "/standin/state", "{}");
        return answer.isComplete_;
    });
    return nlohmann::json::parse(answer.text_).at(name).get<std::uint64_t>();
}

std::vector<CallerAnswer> ServingTestCluster::sendAll(const std::vector<std::string> &bodies)
{
    std::vector<PendingCall> calls(bodies.size());
    auto unfinished = bodies.size();
    for (std::size_t index = 0; index < bodies.size(); ++index) {
        auto &pendingCall = calls[index];
        pendingCall.client_ = std::make_unique<HttpClient>(loop_, Loopback, port_, CallTimeout);
        const auto onEnd = [this, &unfinished] {
            if (--unfinished == 0) {
                loop_.stop();
            }
        };
        pendingCall.call_ = pendingCall.client_->call(buildPost(CompletionPath, bodies[index]), collectInto(pendingCall.answer_, onEnd));
    }
    loop_.run();
    std::vector<CallerAnswer> answers;
    answers.reserve(calls.size());
    for (auto &pendingCall : calls) {
        answers.push_back(std::move(pendingCall.answer_));
    }
    return answers;
}

void ServingTestCluster::sendAndDisconnect(const std::string &body)
{
    CallerAnswer answer;
    HttpClient client(loop_, Loopback, port_, CallTimeout);
    std::shared_ptr<HttpCall> abandonedCall;
    const auto disconnect = [this, &abandonedCall] {
        abandonedCall->cancel();
        loop_.defer([this] { loop_.stop(); });
    };
    abandonedCall = client.call(buildPost(CompletionPath, body),
                                collectInto(
                                    answer, [] {}, disconnect));
    loop_.run();
}

void ServingTestCluster::waitUntil(const std::function<bool()> &condition)
{
    Timer pause(loop_, [this] { loop_.stop(); });
    while (!condition()) {
        pause.startOnce(PollInterval);
        loop_.run();
    }
}

std::size_t ServingTestCluster::engineCount() const
{
    return engines_.size();
}

CallerAnswer ServingTestCluster::call(std::uint16_t port, const std::string &path, const std::string &body)
{
    HttpClient client(loop_, Loopback, port, CallTimeout);
    return call(client, path, body);
}

CallerAnswer ServingTestCluster::call(HttpClient &client, const std::string &path, const std::string &body)
{
    CallerAnswer answer;
    const auto call = client.call(buildPost(path, body), collectInto(answer, [this] { loop_.stop(); }));
    loop_.run();
    return answer;
}

void ServingTestCluster::wait(std::chrono::milliseconds time)
{
    Timer end(loop_, [this] { loop_.stop(); });
    end.startOnce(time);
    loop_.run();
}

void ServingTestCluster::stop()
{
    serve_.send(DrainRequest{});
}

CallerAnswer ServingTestCluster::sendAfterStop(const std::string &body)
{
    HttpClient client(loop_, Loopback, port_, CallTimeout);
    call(client, CompletionPath, body);
    stop();
    wait(drain_.announcePeriod_ + PollInterval);
    return call(client, CompletionPath, body);
}

std::string streamedBody(const std::string &caller, int tokens)
{
    return buildBody(caller, tokens, true);
}

std::string streamedBodyAfter(const std::string &sharedMessage, const std::string &caller, int tokens)
{
    auto body = nlohmann::json::parse(buildBody(caller, tokens, true));
    body["messages"] = { { { "role", "system" }, { "content", sharedMessage } }, { { "role", "user" }, { "content", caller } } };
    return body.dump();
}

std::string unstreamedBody(const std::string &caller, int tokens)
{
    return buildBody(caller, tokens, false);
}

std::string expectedTokens(const std::string &caller, int tokens)
{
    std::string text;
    for (int index = 0; index < tokens; ++index) {
        text += caller + std::to_string(index) + " ";
    }
    return text;
}

std::string tokensOf(const CallerAnswer &answer)
{
    std::string tokens;
    std::istringstream lines(answer.text_);
    for (std::string line; std::getline(lines, line);) {
        const bool isEvent = line.starts_with("data: ");
        const auto document = nlohmann::json::parse(isEvent ? line.substr(6) : line, nullptr, false);
        if (document.is_object() && document.contains("choices")) {
            const auto &choice = document["choices"][0];
            tokens += choice.contains("delta") ? choice["delta"].value("content", "") : choice["message"].value("content", "");
        }
    }
    return tokens;
}

} // namespace cowsliphead
