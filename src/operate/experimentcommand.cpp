#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "experiment/fairnessexperiment.h"
#include "experiment/fifoqueue.h"
#include "operate/commands.h"
#include "operate/exitcode.h"

namespace cowsliphead::commands
{

namespace
{

/// Two accounts that send far more requests than their share and six small ones that stay below theirs. Modelled on the load of the client
/// accounts Press and Tekstilsoft.
std::vector<AccountLoad> twoFloodingAccounts()
{
    constexpr double FloodRate = 800;
    constexpr double SmallRate = 20;
    std::vector<AccountLoad> loads{ { AccountId("large1"), 1, FloodRate, 100 }, { AccountId("large2"), 1, FloodRate, 100 } };
    for (int index = 1; index <= 6; ++index) {
        loads.push_back({ AccountId("small" + std::to_string(index)), 1, SmallRate, 100 });
    }
    return loads;
}

nlohmann::json summaryOf(const std::vector<AccountStatistics> &services)
{
    nlohmann::json summary = { { "accounts", nlohmann::json::object() } };
    double served = 0;
    double worst = 1;
    for (const auto &service : services) {
        const auto share = service.servedTokens_ / service.fairShareTokens_;
        served += service.servedTokens_;
        worst = std::min(worst, share);
        summary["accounts"][service.account_.value()] = { { "shareOfDue", share }, { "refused", service.refused_ }, { "expired", service.expired_ } };
    }
    summary["servedTokens"] = served;
    summary["worstShareOfDue"] = worst;
    return summary;
}

} // namespace

int experiment(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead experiment",
                             "Simulates the scheduling decisions in virtual time and prints JSON. Exit codes: 0 done, 2 wrong input.");
    auto add = options.add_options();
    add("what", "fairness", cxxopts::value<std::string>()->default_value(""));
    add("seed", "Random seed of the load", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("daemons", "Daemons that share the endpoints", cxxopts::value<std::size_t>()->default_value("8"));
    add("seconds", "Virtual time to simulate, in seconds", cxxopts::value<std::uint32_t>()->default_value("300"));
    add("h,help", "Show this help");
    options.parse_positional({ "what" });
    options.positional_help("fairness");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    if (parsed["what"].as<std::string>() != "fairness") {
        std::cerr << options.help();
        return exitcode::WrongInput;
    }
    FairnessSetup setup;
    setup.loads_ = twoFloodingAccounts();
    setup.seed_ = parsed["seed"].as<std::uint64_t>();
    setup.daemons_ = parsed["daemons"].as<std::size_t>();
    setup.duration_ = std::chrono::seconds(parsed["seconds"].as<std::uint32_t>());
    const nlohmann::json result = {
        { "seed", setup.seed_ },
        { "fifo", summaryOf(FairnessExperiment<FifoQueue>(setup).run()) },
        { "fair", summaryOf(FairnessExperiment<PriorityFairQueue>(setup).run()) },
    };
    std::cout << result.dump(4) << "\n";
    return exitcode::Success;
}

} // namespace cowsliphead::commands
