#include <iostream>

#include <cxxopts.hpp>

#include "operate/commands.h"
#include "operate/exitcode.h"
#include "operate/stopsignal.h"
#include "standin/enginestandin.h"
#include "standin/platformstandin.h"
#include "standin/servicestandin.h"
#include "standin/storestandin.h"
#include "task/listening.h"

namespace cowsliphead::commands
{

namespace
{

template <typename Standin, typename Make>
int run(const cxxopts::ParseResult &parsed, Make make)
{
    const StopSignal stopSignal;
    Task<Standin> task;
    const auto address = parsed["address"].as<std::string>();
    const auto port = parsed["port"].as<std::uint16_t>();
    const auto bound = startListening(task, make, [address, port](Standin &standin) { return standin.listen(address, port); });
    if (!bound) {
        std::cerr << "cowsliphead: cannot start: " << bound.error().message() << "\n";
        return exitcode::Failed;
    }
    std::cout << R"({"port":)" << *bound << "}" << std::endl;
    stopSignal.wait();
    return exitcode::Success;
}

EngineOptions engineOptionsFrom(const cxxopts::ParseResult &parsed)
{
    EngineOptions options;
    options.name_ = parsed["name"].as<std::string>();
    options.model_ = parsed["model"].as<std::string>();
    options.prefillTimePerToken_ = std::chrono::microseconds(parsed["prefill-us"].as<std::uint32_t>());
    options.decodeStepTime_ = std::chrono::microseconds(parsed["decode-us"].as<std::uint32_t>());
    return options;
}

} // namespace

int standin(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead standin",
                             "Runs a stand-in for a service that daemons use. Exit codes: 0 stopped by a signal, 1 cannot start, 2 wrong input.");
    auto add = options.add_options();
    add("what", "store, platform, engine or service", cxxopts::value<std::string>()->default_value(""));
    add("address", "Address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("port", "Port to listen on; 0 picks a free one", cxxopts::value<std::uint16_t>()->default_value("0"));
    add("name", "Name of the engine or service", cxxopts::value<std::string>()->default_value("standin"));
    add("model", "Model of the engine", cxxopts::value<std::string>()->default_value("small"));
    add("prefill-us", "Engine: microseconds for each prompt token", cxxopts::value<std::uint32_t>()->default_value("20"));
    add("decode-us", "Engine: microseconds for each answer token", cxxopts::value<std::uint32_t>()->default_value("1000"));
    add("h,help", "Show this help");
    options.parse_positional({ "what" });
    options.positional_help("store|platform|engine|service");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    const auto what = parsed["what"].as<std::string>();
    if (what == "store") {
        return run<StoreStandin>(parsed, [](EventLoop &loop) { return std::make_unique<StoreStandin>(loop); });
    }
    if (what == "platform") {
        return run<PlatformStandin>(parsed, [](EventLoop &loop) { return std::make_unique<PlatformStandin>(loop); });
    }
    if (what == "engine") {
        return run<EngineStandin>(parsed, [options = engineOptionsFrom(parsed)](EventLoop &loop) { return std::make_unique<EngineStandin>(loop, options); });
    }
    if (what == "service") {
        return run<ServiceStandin>(parsed, [name = parsed["name"].as<std::string>()](EventLoop &loop) { return std::make_unique<ServiceStandin>(loop, name); });
    }
    std::cerr << options.help();
    return exitcode::WrongInput;
}

} // namespace cowsliphead::commands
