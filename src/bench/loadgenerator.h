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

/// Sends requests to targets on the loopback address; measures the answers and the resource usage of the given processes.
/// Thread safety: owner only.
class LoadGenerator
{
public:
    /// Precondition: there is at least one target.
    explicit LoadGenerator(LoadOptions options);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    /// Runs the load and returns once every request has ended. Errors: those of readProcessUsage(). Precondition: called once.
    Result<LoadResult> run(Progress &progress);

private:
    struct InFlightRequest;

    HttpRequest requestFor(const LoadTarget &target) const;

    /// Starts every request that is due, within the limits of the options.
    void startDueRequests();
    void startRequest();
    void onData(InFlightRequest &inFlight, std::string_view data);
    void onEnd(const InFlightRequest &inFlight, bool isComplete);
    bool canStartRequest() const;
    bool isFinished() const;

    /// Updates the peak resident memory and the progress display; ends the run once it is finished.
    void sampleUsage(Progress &progress);

    LoadOptions options_;
    EventLoop loop_;
    SystemClock clock_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<HttpClient>> clients_;
    std::vector<HttpRequest> requests_;
    LoadResult result_;
    MonotonicTime startTime_;
    MonotonicTime nextArrival_;
    std::uint32_t started_ = 0;
    std::uint32_t ended_ = 0;
    Timer arrivalTimer_;
};

} // namespace cowsliphead
