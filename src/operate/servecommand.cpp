#include <iostream>

#include <cxxopts.hpp>

#include "logs/logsetup.h"
#include "operate/commands.h"
#include "operate/daemon.h"
#include "operate/embeddeddeployment.h"
#include "operate/exitcode.h"
#include "operate/loadsettings.h"
#include "operate/parsesettings.h"
#include "operate/stopsignal.h"

namespace cowsliphead::commands
{

namespace
{

void setUpLoggingFromOptions(const cxxopts::ParseResult &parsed)
{
    const auto format = parsed["log-format"].as<std::string>() == "json" ? LogFormat::Json : LogFormat::Text;
    setUpLogging(format, parsed.count("verbose") > 0 ? LogLevel::Debug : LogLevel::Info);
}

int serveEmbedded(std::uint16_t port)
{
    const StopSignal stopSignal;
    EmbeddedDeployment deployment;
    const auto access = deployment.start(port);
    if (!access) {
        std::cerr << "cowsliphead: cannot start: " << access.error().message() << "\n";
        return exitcode::Failed;
    }
    std::cout << access->toJson() << std::endl;
    std::cerr << access->curlCommand() << std::endl;
    stopSignal.wait();
    deployment.drain();
    return exitcode::Success;
}

int serveWithSettings(const std::string &file)
{
    const auto settings = loadSettings(file, parseSettings);
    if (!settings) {
        return exitcode::WrongInput;
    }
    const StopSignal stopSignal;
    Daemon daemon;
    const auto port = daemon.start(*settings);
    if (!port) {
        std::cerr << "cowsliphead: cannot start: " << port.error().message() << "\n";
        return exitcode::Failed;
    }
    std::cout << R"({"port":)" << *port << "}" << std::endl;
    stopSignal.wait([&daemon] { daemon.reloadTls(); });
    daemon.drain();
    return exitcode::Success;
}

} // namespace

int serve(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead serve", "Runs a daemon. Exit codes: 0 stopped by a signal, 1 cannot start, 2 wrong input.");
    auto add = options.add_options();
    add("config", "Settings file, JSON with comments", cxxopts::value<std::string>());
    add("embedded", "Run with stand-ins for a store, two engines and a plain service in this process");
    add("port", "Port on which --embedded serves callers; 0 picks a free one", cxxopts::value<std::uint16_t>()->default_value("8080"));
    add("log-format", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("verbose", "Also log debug events");
    add("h,help", "Show this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    setUpLoggingFromOptions(parsed);
    if (parsed.count("embedded") > 0) {
        return serveEmbedded(parsed["port"].as<std::uint16_t>());
    }
    if (parsed.count("config") == 0) {
        std::cerr << options.help();
        return exitcode::WrongInput;
    }
    return serveWithSettings(parsed["config"].as<std::string>());
}

} // namespace cowsliphead::commands
