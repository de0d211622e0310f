#include <iostream>

#include <cxxopts.hpp>

#include "bench/benchcommands.h"
#include "bench/pointoptions.h"
#include "bench/processusage.h"
#include "operate/exitcode.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead::benchcommands
{

namespace
{

constexpr std::uint32_t MaxSeconds = 300;

void sleepFor(std::chrono::seconds time)
{
    EventLoop loop;
    Timer timer(loop, [&] { loop.stop(); });
    timer.startOnce(time);
    loop.run();
}

} // namespace

int usage(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead bench usage", "Prints the resource usage of processes. Exit codes: 0 done, 1 not done, 2 wrong input.");
    options.add_options()("seconds", "Measure for this many seconds; 0: since the processes started", cxxopts::value<std::uint32_t>()->default_value("0"));
    addPointOptions(options);
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    const auto processes = processesFrom(parsed);
    const std::chrono::seconds time(std::min(parsed["seconds"].as<std::uint32_t>(), MaxSeconds));
    const auto before = time.count() == 0 ? Result<ProcessUsage>(ProcessUsage()) : readProcessUsage(processes);
    if (time.count() > 0) {
        sleepFor(time);
    }
    const auto after = readProcessUsage(processes);
    if (!before || !after) {
        std::cerr << "cowsliphead bench usage: " << (before ? after : before).error().message() << "\n";
        return exitcode::Failed;
    }
    auto point = pointFrom(parsed);
    point.values_ = after->since(*before).values();
    point.values_["seconds"] = static_cast<double>(time.count());
    std::cout << point.toJson() << std::endl;
    return exitcode::Success;
}

} // namespace cowsliphead::benchcommands
