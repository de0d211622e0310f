#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "bench/loadoptions.h"
#include "bench/loadresult.h"
#include "core/result.h"
#include "core/systemclock.h"
#include "core/time.h"
#include "http/httprequest.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

class HttpClient;
class Progress;

/// Sends requests to targets on the loopback address and measures the answers and the processes that gave them.
class LoadGenerator
{
public:
    /// Precondition: there is at least one target. Thread safety: owner only.
    explicit LoadGenerator(LoadOptions options);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /// Returns once every request has ended. Errors: those of readProcessUsage(). Precondition: called once. Thread safety: owner only.
    Result<LoadResult> run(Progress &progress);

private:
    struct Sent;

    HttpRequest requestFor(const LoadTarget &target) const;
    void startDue();
    void startOne();
    void onData(Sent &sent, std::string_view data);
    void onEnd(const Sent &sent, bool isWhole);
    bool mayStart() const;
    bool isOver() const;
    void observe(Progress &progress);

    LoadOptions options_;
    EventLoop loop_;
    SystemClock clock_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    std::vector<HttpRequest> requests_;
    LoadResult result_;
    MonotonicTime begin_;
    MonotonicTime nextArrival_;
    std::uint32_t started_ = 0;
    std::uint32_t ended_ = 0;
    Timer arrivals_;
};

} // namespace cowsliphead
