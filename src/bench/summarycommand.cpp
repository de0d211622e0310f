#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "bench/benchcommands.h"
#include "bench/benchsummary.h"
#include "operate/exitcode.h"

namespace cowsliphead::benchcommands
{

int summary(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead bench summary",
                             "Reads measured points from standard input and prints them with fitted lines. Exit codes: 0 done, 2 wrong input.");
    auto add = options.add_options();
    add("note", "How the points were measured; written to the summary", cxxopts::value<std::string>()->default_value(""));
    add("h,help", "Show this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    std::vector<BenchPoint> points;
    std::string line;
    while (std::getline(std::cin, line)) {
        auto point = BenchPoint::fromJson(line);
        if (!point) {
            std::cerr << "cowsliphead bench summary: " << point.error().message() << ": " << line << "\n";
            return exitcode::WrongInput;
        }
        points.push_back(std::move(*point));
    }
    std::cout << summarize(points, parsed["note"].as<std::string>()) << std::endl;
    return exitcode::Success;
}

} // namespace cowsliphead::benchcommands
