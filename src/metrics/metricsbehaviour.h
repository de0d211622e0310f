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

/// Answers GET /metrics with what all tasks of the daemon report. A task's behaviour.
class MetricsBehaviour
{
public:
    using Message = MetricsReport;
    using Sources = std::vector<Address<MetricsQuery>>;

    /// answerTo is this task's own address. Precondition: the loop outlives the behaviour. Thread safety: the loop's task only.
    MetricsBehaviour(EventLoop &loop, Sources sources, Address<MetricsReport> answerTo);
    ~MetricsBehaviour();

    /// Port 0 takes a free one. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Takes a task's answer. Thread safety: the loop's task only.
    void receive(const Message &message);

private:
    struct Scrape {
        std::shared_ptr<HttpResponder> responder_;
        std::string text_;
        std::size_t missing_ = 0;
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
