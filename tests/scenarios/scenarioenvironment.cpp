#include "scenarios/scenarioenvironment.h"

#include <nlohmann/json.hpp>

#include "http/httprequest.h"
#include "operate/createkey.h"
#include "operate/operatorclient.h"
#include "task/timer.h"

namespace cowsliphead::scenarios
{

namespace
{

constexpr const char *Loopback = "127.0.0.1";
constexpr std::chrono::milliseconds CheckInterval{ 5 };
constexpr std::chrono::minutes ClientTimeout{ 2 };

HttpMethod methodFromName(const std::string &name)
{
    for (const auto method : { HttpMethod::Get, HttpMethod::Head, HttpMethod::Put, HttpMethod::Delete, HttpMethod::Patch, HttpMethod::Options }) {
        if (name == httpMethodName(method)) {
            return method;
        }
    }
    return HttpMethod::Post;
}

HttpRequest requestFrom(const nlohmann::json &description)
{
    HttpRequest request;
    request.method_ = methodFromName(description.value("method", "POST"));
    request.path_ = description.value("path", "/v1/chat/completions");
    request.query_ = description.value("query", "");
    if (description.contains("key")) {
        request.headers_.emplace_back("Authorization", "Bearer " + description["key"].get<std::string>());
    }
    if (description.contains("headers")) {
        for (const auto &[name, value] : description["headers"].items()) {
            request.headers_.emplace_back(name, value.get<std::string>());
        }
    }
    request.body_ = description.contains("json") ? description["json"].dump() : description.value("body", "");
    return request;
}

} // namespace

ScenarioEnvironment::ScenarioEnvironment(std::string program)
    : program_(std::move(program))
{
}

ScenarioEnvironment::~ScenarioEnvironment()
{
    for (const auto &exchange : exchanges_) {
        exchange->call_->cancel();
    }
}

std::size_t ScenarioEnvironment::start(const std::vector<std::string> &arguments, const std::string &input)
{
    processes_.push_back(std::make_unique<ChildProcess>(program_, arguments, input));
    return processes_.size() - 1;
}

ChildProcess &ScenarioEnvironment::process(std::size_t number)
{
    return *processes_.at(number);
}

void ScenarioEnvironment::useStore(std::uint16_t port)
{
    store_.port_ = port;
}

std::uint64_t ScenarioEnvironment::put(const std::string &text)
{
    OperatorClient client(store_);
    const auto revision = client.put(text);
    if (!revision) {
        throw std::system_error(revision.error().code_, revision.error().describe());
    }
    return *revision;
}

std::uint64_t ScenarioEnvironment::withdraw(const std::string &kind, const std::string &name)
{
    OperatorClient client(store_);
    const auto revision = client.withdraw(RecordKey{ kind, name });
    if (!revision) {
        throw std::system_error(revision.error(), kind + "/" + name);
    }
    return *revision;
}

std::string ScenarioEnvironment::createKey(const std::string &account)
{
    const auto created = cowsliphead::createKey(AccountId(account));
    put(created.recordText_);
    return created.key_;
}

std::size_t ScenarioEnvironment::sendRequest(const nlohmann::json &description)
{
    const auto number = exchanges_.size();
    auto *exchange = exchanges_.emplace_back(std::make_unique<Exchange>()).get();
    exchange->client_ = std::make_unique<HttpClient>(loop_, Loopback, description.at("port").get<std::uint16_t>(), ClientTimeout);
    HttpCallEvents events;
    events.onHead_ = [exchange](const HttpResponseHead &head) { exchange->head_ = head; };
    events.onData_ = [exchange](std::string_view data) { exchange->body_.append(data); };
    events.onEnd_ = [exchange](const tl::expected<void, HttpCallFailure> &end) {
        exchange->isEnded_ = true;
        exchange->isComplete_ = end.has_value();
    };
    exchange->call_ = exchange->client_->call(requestFrom(description), std::move(events));
    return number;
}

Exchange &ScenarioEnvironment::exchange(std::size_t number)
{
    return *exchanges_.at(number);
}

void ScenarioEnvironment::cancelRequest(std::size_t number)
{
    exchange(number).call_->cancel();
}

bool ScenarioEnvironment::waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    // The condition may itself call waitUntil(), so it is evaluated between two runs of the loop, not from within one.
    Timer interval(loop_, [this] { loop_.stop(); });
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        interval.startOnce(CheckInterval);
        loop_.run();
    }
    return true;
}

} // namespace cowsliphead::scenarios
