#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "logs/requesttimeline.h"
#include "operate/commands.h"
#include "operate/exitcode.h"
#include "operate/readfile.h"

namespace cowsliphead::commands
{

namespace
{

bool addFile(const std::string &file, RequestTimeline &timeline)
{
    const auto text = readFile(file);
    if (!text) {
        std::cerr << "cowsliphead: " << file << ": " << text.error().message() << "\n";
        return false;
    }
    std::istringstream lines(*text);
    for (std::string line; std::getline(lines, line);) {
        timeline.add(line);
    }
    return true;
}

} // namespace

int explain(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead explain",
                             "Shows what the logs of one or more processes contain about a request. Exit codes: 0 found, 1 no line names it, 2 wrong input.");
    auto add = options.add_options();
    add("request", "The request's identifier, or the digest that its submissions share", cxxopts::value<std::string>());
    add("files", "Log files in JSON lines format; standard input for - or if none is given", cxxopts::value<std::vector<std::string>>());
    add("h,help", "Show this help");
    options.parse_positional({ "request", "files" });
    options.positional_help("ID [FILE...]");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    if (parsed.count("request") == 0) {
        std::cerr << options.help();
        return exitcode::WrongInput;
    }
    RequestTimeline timeline(parsed["request"].as<std::string>());
    const auto files = parsed.count("files") > 0 ? parsed["files"].as<std::vector<std::string>>() : std::vector<std::string>{ "-" };
    for (const auto &file : files) {
        if (!addFile(file, timeline)) {
            return exitcode::WrongInput;
        }
    }
    std::cout << timeline.toText();
    return timeline.isKnown() ? exitcode::Success : exitcode::Failed;
}

} // namespace cowsliphead::commands
