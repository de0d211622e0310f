#include "bench/loadgenerator.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "bench/progress.h"
#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httpstatus.h"

namespace cowsliphead
{

namespace
{

constexpr const char *Loopback = "127.0.0.1";
constexpr std::chrono::seconds CallTimeout{ 60 };
constexpr std::chrono::milliseconds ArrivalTick{ 1 };
constexpr std::chrono::milliseconds SampleInterval{ 200 };
constexpr std::string_view TokenStart = "data: {";

std::uint64_t countTokens(std::string_view data)
{
    std::uint64_t count = 0;
    for (auto place = data.find(TokenStart); place != std::string_view::npos; place = data.find(TokenStart, place + TokenStart.size())) {
        ++count;
    }
    return count;
}

} // namespace

/// State of one request in flight.
struct LoadGenerator::InFlightRequest {
    std::size_t target_ = 0;
    MonotonicTime startTime_;
    MonotonicTime lastData_;
    int status_ = 0;
    bool hasData_ = false;
};

LoadGenerator::LoadGenerator(LoadOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
    , arrivalTimer_(loop_, [this] { startDueRequests(); })
{
    for (const auto &target : options_.targets_) {
        clients_.push_back(std::make_unique<HttpClient>(loop_, Loopback, target.port_, CallTimeout));
        requests_.push_back(requestFor(target));
    }
    result_.targets_.resize(options_.targets_.size());
}

LoadGenerator::~LoadGenerator() = default;

Result<LoadResult> LoadGenerator::run(Progress &progress)
{
    const auto usageBefore = readProcessUsage(options_.processes_);
    if (!usageBefore) {
        return tl::unexpected(usageBefore.error());
    }
    startTime_ = clock_.now();
    nextArrival_ = startTime_;
    Timer sampleTimer(loop_, [&] { sampleUsage(progress); });
    sampleTimer.startRepeating(SampleInterval);
    if (options_.rate_ > 0) {
        arrivalTimer_.startRepeating(ArrivalTick);
    } else {
        startDueRequests();
    }
    loop_.run();
    const auto usageAfter = readProcessUsage(options_.processes_);
    if (!usageAfter) {
        return tl::unexpected(usageAfter.error());
    }
    result_.wallTime_ = clock_.now() - startTime_;
    const auto peakResidentBytes = result_.usage_.residentBytes_;
    result_.usage_ = usageAfter->since(*usageBefore);
    result_.usage_.residentBytes_ = std::max(peakResidentBytes, usageAfter->residentBytes_);
    return std::move(result_);
}

HttpRequest LoadGenerator::requestFor(const LoadTarget &target) const
{
    const std::string prompt(options_.promptCharacters_, 'p');
    const nlohmann::json body = {
        { "model", options_.model_ },
        { "stream", options_.isStreamed_ },
        { "max_tokens", options_.tokens_ },
        { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", prompt } } }) },
    };
    HttpRequest request;
    request.method_ = HttpMethod::Post;
    request.path_ = "/v1/chat/completions";
    request.headers_.emplace_back("Content-Type", "application/json");
    if (!target.key_.empty()) {
        request.headers_.emplace_back("Authorization", "Bearer " + target.key_);
    }
    request.body_ = body.dump();
    return request;
}

void LoadGenerator::startDueRequests()
{
    if (options_.rate_ <= 0) {
        while (canStartRequest()) {
            startRequest();
        }
        return;
    }
    const auto now = clock_.now();
    std::exponential_distribution<double> gap(options_.rate_);
    while (nextArrival_ <= now && canStartRequest()) {
        startRequest();
        nextArrival_ += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(random_)));
    }
}

void LoadGenerator::startRequest()
{
    const auto inFlight = std::make_shared<InFlightRequest>();
    inFlight->target_ = started_ % options_.targets_.size();
    inFlight->startTime_ = clock_.now();
    ++started_;
    HttpCallEvents events;
    events.onHead_ = [inFlight](const HttpResponseHead &head) { inFlight->status_ = head.status_; };
    events.onData_ = [this, inFlight](std::string_view data) { onData(*inFlight, data); };
    events.onEnd_ = [this, inFlight](const tl::expected<void, HttpCallFailure> &end) { onEnd(*inFlight, end.has_value()); };
    clients_[inFlight->target_]->call(requests_[inFlight->target_], std::move(events));
}

void LoadGenerator::onData(InFlightRequest &inFlight, std::string_view data)
{
    auto &result = result_.targets_[inFlight.target_];
    const auto now = clock_.now();
    if (inFlight.hasData_) {
        result.betweenTokens_.add(now - inFlight.lastData_);
    } else {
        result.firstToken_.add(now - inFlight.startTime_);
    }
    inFlight.hasData_ = true;
    inFlight.lastData_ = now;
    result.tokens_ += countTokens(data);
}

void LoadGenerator::onEnd(const InFlightRequest &inFlight, bool isComplete)
{
    auto &result = result_.targets_[inFlight.target_];
    ++result.requests_;
    ++ended_;
    if (isComplete && inFlight.status_ == httpstatus::Ok) {
        result.whole_.add(clock_.now() - inFlight.startTime_);
    } else {
        ++result.failed_;
    }
    if (options_.rate_ <= 0) {
        startDueRequests();
    }
    if (isFinished()) {
        loop_.stop();
    }
}

bool LoadGenerator::canStartRequest() const
{
    const bool isInTime = clock_.now() - startTime_ < options_.maxDuration_;
    return isInTime && started_ < options_.requests_ && started_ - ended_ < options_.concurrency_;
}

bool LoadGenerator::isFinished() const
{
    const bool isOutOfTime = clock_.now() - startTime_ >= options_.maxDuration_;
    return started_ == ended_ && (started_ >= options_.requests_ || isOutOfTime);
}

void LoadGenerator::sampleUsage(Progress &progress)
{
    if (const auto usage = readProcessUsage(options_.processes_)) {
        result_.usage_.residentBytes_ = std::max(result_.usage_.residentBytes_, usage->residentBytes_);
    }
    progress.show(ended_, options_.requests_);
    if (isFinished()) {
        loop_.stop();
    }
}

} // namespace cowsliphead
