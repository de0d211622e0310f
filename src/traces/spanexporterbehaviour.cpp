#include "traces/spanexporterbehaviour.h"

#include <utility>

#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "task/eventloop.h"
#include "traces/spancodec.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::seconds FlushInterval{ 1 };
constexpr std::chrono::seconds CollectorTimeout{ 5 };
constexpr std::size_t LargestBatch = 10000;
constexpr const char *CollectorPath = "/v1/traces";

} // namespace

SpanExporterBehaviour::SpanExporterBehaviour(EventLoop &loop, const TraceSettings &settings, std::string instance)
    : instance_(std::move(instance))
    , flush_(loop, [this] { flush(); })
{
    if (!settings.file_.empty()) {
        file_.open(settings.file_, std::ios::app);
    }
    if (!settings.collectorHost_.empty()) {
        collector_ = std::make_unique<HttpClient>(loop, settings.collectorHost_, settings.collectorPort_, CollectorTimeout);
    }
    flush_.startRepeating(FlushInterval);
}

SpanExporterBehaviour::~SpanExporterBehaviour()
{
    flush();
}

void SpanExporterBehaviour::receive(Message message)
{
    if (spans_.size() < LargestBatch) {
        spans_.push_back(std::move(message));
    }
}

void SpanExporterBehaviour::flush()
{
    if (spans_.empty()) {
        return;
    }
    const auto text = encodeSpans(instance_, std::exchange(spans_, {}));
    if (file_.is_open()) {
        file_ << text << '\n';
        file_.flush();
    }
    if (collector_) {
        HttpRequest request;
        request.method_ = HttpMethod::Post;
        request.path_ = CollectorPath;
        request.headers_.emplace_back("Content-Type", "application/json");
        request.body_ = text;
        collector_->call(request, {});
    }
}

} // namespace cowsliphead
