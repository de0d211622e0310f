#include <iostream>

#include <cxxopts.hpp>

#include "bench/benchcommands.h"
#include "bench/loadgenerator.h"
#include "bench/pointoptions.h"
#include "bench/progress.h"
#include "operate/exitcode.h"

namespace cowsliphead::benchcommands
{

namespace
{

constexpr std::uint32_t MaxRequests = 1000000;
constexpr std::uint32_t MaxSeconds = 300;

void addLoadOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("port", "Port of the daemon", cxxopts::value<std::uint16_t>());
    add("key", "Key for the daemon", cxxopts::value<std::string>()->default_value(""));
    add("direct-port", "Port of an engine that gets every second request directly", cxxopts::value<std::uint16_t>());
    add("model", "Model to ask for", cxxopts::value<std::string>()->default_value("small"));
    add("requests", "Number of requests to send", cxxopts::value<std::uint32_t>()->default_value("1000"));
    add("tokens", "Number of tokens of each answer", cxxopts::value<std::uint32_t>()->default_value("1"));
    add("prompt", "Number of characters of each prompt", cxxopts::value<std::uint32_t>()->default_value("100"));
    add("streamed", "Ask for streamed answers");
    add("concurrency", "Maximum number of requests in flight", cxxopts::value<std::uint32_t>()->default_value("16"));
    add("rate", "Requests per second; 0: start one whenever one ends", cxxopts::value<double>()->default_value("0"));
    add("seconds", "Start no request after this many seconds", cxxopts::value<std::uint32_t>()->default_value("60"));
    add("seed", "Seed of the arrival times", cxxopts::value<std::uint64_t>()->default_value("1"));
}

LoadOptions loadOptionsFrom(const cxxopts::ParseResult &parsed)
{
    LoadOptions options;
    options.targets_.push_back({ parsed["port"].as<std::uint16_t>(), parsed["key"].as<std::string>() });
    if (parsed.count("direct-port") > 0) {
        options.targets_.push_back({ parsed["direct-port"].as<std::uint16_t>(), {} });
    }
    options.processes_ = processesFrom(parsed);
    options.model_ = parsed["model"].as<std::string>();
    options.requests_ = std::min(parsed["requests"].as<std::uint32_t>(), MaxRequests);
    options.tokens_ = parsed["tokens"].as<std::uint32_t>();
    options.promptCharacters_ = parsed["prompt"].as<std::uint32_t>();
    options.isStreamed_ = parsed.count("streamed") > 0;
    options.concurrency_ = parsed["concurrency"].as<std::uint32_t>();
    options.rate_ = parsed["rate"].as<double>();
    options.maxDuration_ = std::chrono::seconds(std::min(parsed["seconds"].as<std::uint32_t>(), MaxSeconds));
    options.seed_ = parsed["seed"].as<std::uint64_t>();
    return options;
}

} // namespace

int load(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead bench load", "Sends a load to a daemon on the loopback address. Exit codes: 0 done, 1 not done, 2 wrong input.");
    addLoadOptions(options);
    addPointOptions(options);
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("port") == 0) {
        (parsed.count("help") > 0 ? std::cout : std::cerr) << options.help();
        return parsed.count("help") > 0 ? exitcode::Success : exitcode::WrongInput;
    }
    auto point = pointFrom(parsed);
    LoadGenerator generator(loadOptionsFrom(parsed));
    Progress progress(point.series_);
    const auto result = generator.run(progress);
    if (!result) {
        std::cerr << "cowsliphead bench load: " << result.error().message() << "\n";
        return exitcode::Failed;
    }
    point.values_ = result->values();
    std::cout << point.toJson() << std::endl;
    return exitcode::Success;
}

} // namespace cowsliphead::benchcommands
