#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "operate/commands.h"
#include "operate/exitcode.h"
#include "operate/parsepeeraddress.h"
#include "operate/statuscollector.h"

namespace cowsliphead::commands
{

namespace
{

const char *stateOf(const DaemonStatus &status, Revision wanted)
{
    if (!status.hasAnswered_) {
        return "silent";
    }
    return status.member_.revision_ >= wanted ? "confirmed" : "behind";
}

nlohmann::ordered_json lineOf(const DaemonStatus &status, Revision wanted)
{
    nlohmann::ordered_json line = {
        { "instance", status.member_.instance_.value() },
        { "failureDomain", status.member_.failureDomain_.value() },
        { "peer", status.member_.address_.host_ + ":" + std::to_string(status.member_.address_.port_) },
        { "incarnation", status.member_.incarnation_ },
        { "relay", status.member_.isRelay_ },
        { "revision", status.member_.revision_ },
        { "state", stateOf(status, wanted) },
    };
    line["ageMs"] = status.age_ ? nlohmann::ordered_json(status.age_->count()) : nlohmann::ordered_json();
    return line;
}

/// The revision that all daemons are expected to have: the requested one or, if that is 0, the newest of any daemon.
Revision wantedRevision(const std::vector<DaemonStatus> &statuses, Revision requested)
{
    Revision newest = requested;
    for (const auto &status : statuses) {
        newest = requested == 0 ? std::max(newest, status.member_.revision_) : newest;
    }
    return newest;
}

} // namespace

int status(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead status",
                             "Shows the record revision of each daemon, one JSON object per line. Exit codes: 0 all daemons have confirmed the "
                             "revision, 1 some have not, 2 wrong input.");
    auto add = options.add_options();
    add("peer", "HOST:PORT on which a daemon listens for its peers; any daemon will do", cxxopts::value<std::string>());
    add("revision", "Revision to confirm; 0 for the newest of any daemon", cxxopts::value<Revision>()->default_value("0"));
    add("timeout-ms", "Timeout for the answer of each daemon, in milliseconds", cxxopts::value<int>()->default_value("1000"));
    add("h,help", "Show this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    const auto peer = parsed.count("peer") > 0 ? parsePeerAddress(parsed["peer"].as<std::string>()) : std::nullopt;
    if (!peer) {
        std::cerr << options.help();
        return exitcode::WrongInput;
    }
    StatusCollector collector(std::chrono::milliseconds(parsed["timeout-ms"].as<int>()));
    const auto statuses = collector.run(*peer);
    const auto wanted = wantedRevision(statuses, parsed["revision"].as<Revision>());
    bool isConfirmed = !statuses.empty();
    for (const auto &status : statuses) {
        std::cout << lineOf(status, wanted).dump() << "\n";
        isConfirmed = isConfirmed && std::string_view(stateOf(status, wanted)) == "confirmed";
    }
    return isConfirmed ? exitcode::Success : exitcode::Failed;
}

} // namespace cowsliphead::commands
