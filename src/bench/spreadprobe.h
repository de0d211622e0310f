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

/// Asks daemons with a key, again and again, until each answers with the wanted status: so it sees a change come into force everywhere.
class SpreadProbe
{
public:
    /// Precondition: all ports are daemons on the loopback address. Thread safety: owner only.
    explicit SpreadProbe(const std::vector<std::uint16_t> &ports);
    ~SpreadProbe();
    SpreadProbe(const SpreadProbe &) = delete;
    SpreadProbe &operator=(const SpreadProbe &) = delete;

    /// Waits until all daemons answer the key with the status, or the time is over; returns how many did not.
    /// Times count from the given begin. Thread safety: owner only.
    std::size_t await(const std::string &key, int status, MonotonicTime begin, std::chrono::milliseconds longest);

    /// Times until a change was in force, one for each change and daemon. Thread safety: owner only.
    const LatencyHistogram &times() const;

private:
    struct Daemon {
        std::unique_ptr<HttpClient> client_;
        bool isAsked_ = false;
        bool isDone_ = false;
    };

    void askAll();
    void ask(Daemon &daemon);
    void take(Daemon &daemon, int status);

    EventLoop loop_;
    SystemClock clock_;
    std::vector<Daemon> daemons_;
    LatencyHistogram times_;
    std::string key_;
    int status_ = 0;
    MonotonicTime begin_;
    std::size_t left_ = 0;
    Timer poll_;
    Timer timeout_;
};

} // namespace cowsliphead
