#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/result.h"
#include "http/httpserver.h"
#include "metrics/metricsquery.h"
#include "metrics/metricsreport.h"
#include "task/address.h"

namespace cowsliphead
{

class EventLoop;
class Timer;

/// Answers GET /metrics with the metrics that the daemon's tasks report. A task's behaviour. Thread safety: the loop's task only.
class MetricsBehaviour
{
public:
    using Message = MetricsReport;
    using Sources = std::vector<Address<MetricsQuery>>;

    /// sources are the tasks that report metrics, answerTo is this task's own address. Precondition: the loop outlives the behaviour.
    MetricsBehaviour(EventLoop &loop, Sources sources, Address<MetricsReport> answerTo);
    ~MetricsBehaviour();

    /// Listens on the address; port 0 selects a free port. Returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Adds a task's report to the scrape that it belongs to.
    void receive(const Message &message);

private:
    struct Scrape {
        std::shared_ptr<HttpResponder> responder_;
        std::string text_;
        std::size_t pendingReports_ = 0;
        std::unique_ptr<Timer> timeout_;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void answer(std::uint64_t query);

    EventLoop &loop_;
    Sources sources_;
    Address<MetricsReport> answerTo_;
    std::map<std::uint64_t, Scrape> scrapes_;
    std::uint64_t nextQuery_ = 1;
    HttpServer server_;
};

} // namespace cowsliphead
