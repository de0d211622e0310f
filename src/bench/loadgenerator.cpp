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
constexpr std::chrono::milliseconds ObservationInterval{ 200 };
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

/// One request under way.
struct LoadGenerator::Sent {
    std::size_t target_ = 0;
    MonotonicTime begin_;
    MonotonicTime lastData_;
    int status_ = 0;
    bool hasData_ = false;
};

LoadGenerator::LoadGenerator(LoadOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
    , arrivals_(loop_, [this] { startDue(); })
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
    const auto before = readProcessUsage(options_.processes_);
    if (!before) {
        return tl::unexpected(before.error());
    }
    begin_ = clock_.now();
    nextArrival_ = begin_;
    Timer observation(loop_, [&] { observe(progress); });
    observation.startRepeating(ObservationInterval);
    if (options_.rate_ > 0) {
        arrivals_.startRepeating(ArrivalTick);
    } else {
        startDue();
    }
    loop_.run();
    const auto after = readProcessUsage(options_.processes_);
    if (!after) {
        return tl::unexpected(after.error());
    }
    result_.wallTime_ = clock_.now() - begin_;
    const auto mostResident = result_.usage_.residentBytes_;
    result_.usage_ = after->since(*before);
    result_.usage_.residentBytes_ = std::max(mostResident, after->residentBytes_);
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

void LoadGenerator::startDue()
{
    if (options_.rate_ <= 0) {
        while (mayStart()) {
            startOne();
        }
        return;
    }
    const auto now = clock_.now();
    std::exponential_distribution<double> gap(options_.rate_);
    while (nextArrival_ <= now && mayStart()) {
        startOne();
        nextArrival_ += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(random_)));
    }
}

void LoadGenerator::startOne()
{
    const auto sent = std::make_shared<Sent>();
    sent->target_ = started_ % options_.targets_.size();
    sent->begin_ = clock_.now();
    ++started_;
    HttpCallEvents events;
    events.onHead_ = [sent](const HttpResponseHead &head) { sent->status_ = head.status_; };
    events.onData_ = [this, sent](std::string_view data) { onData(*sent, data); };
    events.onEnd_ = [this, sent](const tl::expected<void, HttpCallFailure> &end) { onEnd(*sent, end.has_value()); };
    clients_[sent->target_]->call(requests_[sent->target_], std::move(events));
}

void LoadGenerator::onData(Sent &sent, std::string_view data)
{
    auto &result = result_.targets_[sent.target_];
    const auto now = clock_.now();
    if (sent.hasData_) {
        result.betweenTokens_.add(now - sent.lastData_);
    } else {
        result.firstToken_.add(now - sent.begin_);
    }
    sent.hasData_ = true;
    sent.lastData_ = now;
    result.tokens_ += countTokens(data);
}

void LoadGenerator::onEnd(const Sent &sent, bool isWhole)
{
    auto &result = result_.targets_[sent.target_];
    ++result.requests_;
    ++ended_;
    if (isWhole && sent.status_ == httpstatus::Ok) {
        result.whole_.add(clock_.now() - sent.begin_);
    } else {
        ++result.failed_;
    }
    if (options_.rate_ <= 0) {
        startDue();
    }
    if (isOver()) {
        loop_.stop();
    }
}

bool LoadGenerator::mayStart() const
{
    const bool isInTime = clock_.now() - begin_ < options_.longest_;
    return isInTime && started_ < options_.requests_ && started_ - ended_ < options_.concurrency_;
}

bool LoadGenerator::isOver() const
{
    const bool isOutOfTime = clock_.now() - begin_ >= options_.longest_;
    return started_ == ended_ && (started_ >= options_.requests_ || isOutOfTime);
}

void LoadGenerator::observe(Progress &progress)
{
    if (const auto usage = readProcessUsage(options_.processes_)) {
        result_.usage_.residentBytes_ = std::max(result_.usage_.residentBytes_, usage->residentBytes_);
    }
    progress.show(ended_, options_.requests_);
    if (isOver()) {
        loop_.stop();
    }
}

} // namespace cowsliphead
