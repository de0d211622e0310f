#include <iostream>

#include <cxxopts.hpp>

#include "gateway/parsegatewaysettings.h"
#include "operate/commands.h"
#include "operate/exitcode.h"
#include "operate/parsesettings.h"
#include "operate/readfile.h"

namespace cowsliphead::commands
{

namespace
{

/// Prints whether the settings are valid. Returns the exit code.
template <typename Parse>
int check(const std::string &file, const std::string &text, Parse parse)
{
    const auto settings = parse(text);
    if (!settings) {
        std::cerr << file << ": " << settings.error().describe() << "\n";
        return exitcode::WrongInput;
    }
    std::cout << file << ": valid\n";
    return exitcode::Success;
}

/// As check(), for the settings of a gateway. A bound that the process would not use counts as wrong input, although the process starts.
int checkGateway(const std::string &file, const std::string &text)
{
    const auto parse = [](const std::string &json) -> tl::expected<GatewayDaemonSettings, InputError> {
        auto settings = parseGatewaySettings(json);
        if (settings && !settings->rejected_.empty()) {
            return tl::unexpected(settings->rejected_.front());
        }
        return settings;
    };
    return check(file, text, parse);
}

} // namespace

int config(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead config", "Checks a settings file. Exit codes: 0 valid, 2 wrong input.");
    auto add = options.add_options();
    add("action", "check", cxxopts::value<std::string>());
    add("file", "Settings file, - for standard input", cxxopts::value<std::string>());
    add("gateway", "Check the file as the settings of a gateway");
    add("h,help", "Show this help");
    options.parse_positional({ "action", "file" });
    options.positional_help("check FILE");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    if (parsed.count("file") == 0 || parsed["action"].as<std::string>() != "check") {
        std::cerr << options.help();
        return exitcode::WrongInput;
    }
    const auto file = parsed["file"].as<std::string>();
    const auto text = readFile(file);
    if (!text) {
        std::cerr << file << ": " << text.error().message() << "\n";
        return exitcode::WrongInput;
    }
    if (parsed.count("gateway") > 0) {
        return checkGateway(file, *text);
    }
    return check(file, *text, parseSettings);
}

} // namespace cowsliphead::commands
