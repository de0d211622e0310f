#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "bench/latencyhistogram.h"
#include "core/systemclock.h"
#include "core/time.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

class HttpClient;

/// Measures when a change to a key comes into force: polls all daemons with the key until each answers with the expected status.
/// Thread safety: owner only.
class PropagationProbe
{
public:
    /// Precondition: the ports are those of daemons on the loopback address.
    explicit PropagationProbe(const std::vector<std::uint16_t> &ports);
    ~PropagationProbe();
    PropagationProbe(const PropagationProbe &) = delete;
    PropagationProbe &operator=(const PropagationProbe &) = delete;

    /// Polls with the key until every daemon has answered with the given status, or until the timeout. Returns the number of daemons that
    /// have not.
    /// Propagation times are measured from startTime.
    std::size_t waitForStatus(const std::string &key, int status, MonotonicTime startTime, std::chrono::milliseconds timeout);

    /// Times until a change was in force, one for each change and daemon; daemons that reached the timeout are left out.
    const LatencyHistogram &propagationTimes() const;

private:
    struct Daemon {
        std::unique_ptr<HttpClient> client_;
        bool isAwaitingAnswer_ = false;
        bool isDone_ = false;
    };

    void pollDaemons();
    void poll(Daemon &daemon);
    void handleStatus(Daemon &daemon, int status);

    EventLoop loop_;
    SystemClock clock_;
    std::vector<Daemon> daemons_;
    LatencyHistogram propagationTimes_;
    std::string key_;
    int expectedStatus_ = 0;
    MonotonicTime startTime_;
    std::size_t remainingDaemons_ = 0;
    Timer pollTimer_;
    Timer timeout_;
};

} // namespace cowsliphead
