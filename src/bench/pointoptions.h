#pragma once

#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <sys/types.h>

#include "bench/benchpoint.h"

namespace cowsliphead
{

/// Adds the options for the name and size of a point and for the processes to measure.
inline void addPointOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("series", "Name of the varied parameter", cxxopts::value<std::string>()->default_value("trial"));
    add("size", "Value of the varied parameter", cxxopts::value<double>()->default_value("0"));
    add("pid", "Process to measure; may be repeated", cxxopts::value<std::vector<int>>());
    add("h,help", "Show this help");
}

/// A point with the given name and size and without values. Thread safety: any thread.
inline BenchPoint pointFrom(const cxxopts::ParseResult &parsed)
{
    return { parsed["series"].as<std::string>(), parsed["size"].as<double>(), {} };
}

/// The processes to measure. Thread safety: any thread.
inline std::vector<pid_t> processesFrom(const cxxopts::ParseResult &parsed)
{
    return parsed.count("pid") > 0 ? parsed["pid"].as<std::vector<int>>() : std::vector<int>();
}

} // namespace cowsliphead
