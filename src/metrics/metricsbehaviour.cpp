#include "metrics/metricsbehaviour.h"

#include <utility>

#include "http/httprequest.h"
#include "http/httpresponder.h"
#include "http/httpstatus.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

namespace
{

/// After this time a scrape is answered with the reports received so far, so that a task that hangs does not hide the others' metrics.
constexpr std::chrono::seconds ScrapeTimeout{ 2 };

} // namespace

MetricsBehaviour::MetricsBehaviour(EventLoop &loop, Sources sources, Address<MetricsReport> answerTo)
    : loop_(loop)
    , sources_(std::move(sources))
    , answerTo_(std::move(answerTo))
    , server_(loop, [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { handle(request, responder); })
{
}

MetricsBehaviour::~MetricsBehaviour() = default;

Result<std::uint16_t> MetricsBehaviour::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

void MetricsBehaviour::receive(const Message &message)
{
    const auto found = scrapes_.find(message.query_);
    if (found == scrapes_.end()) {
        return;
    }
    found->second.text_ += message.text_;
    --found->second.pendingReports_;
    if (found->second.pendingReports_ == 0) {
        answer(message.query_);
    }
}

void MetricsBehaviour::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (request.path_ != "/metrics") {
        responder->reply(HttpResponseHead{ httpstatus::NotFound, {} }, "the metrics are at /metrics\n");
        return;
    }
    const auto query = nextQuery_++;
    auto &scrape = scrapes_[query];
    scrape.responder_ = responder;
    scrape.pendingReports_ = sources_.size();
    scrape.timeout_ = std::make_unique<Timer>(loop_, [this, query] { answer(query); });
    scrape.timeout_->startOnce(ScrapeTimeout);
    for (const auto &source : sources_) {
        source.send(MetricsQuery{ query, answerTo_ });
    }
}

void MetricsBehaviour::answer(std::uint64_t query)
{
    const auto scrape = scrapes_.extract(query);
    scrape.mapped().responder_->reply(HttpResponseHead{ httpstatus::Ok, { { "Content-Type", "text/plain; version=0.0.4" } } }, scrape.mapped().text_);
}

} // namespace cowsliphead
