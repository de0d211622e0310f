#include <iostream>

#include <cxxopts.hpp>

#include "bench/benchcommands.h"
#include "bench/benchrecords.h"
#include "bench/pointoptions.h"
#include "bench/propagationprobe.h"
#include "core/sha256.h"
#include "http/httpstatus.h"
#include "operate/createdkey.h"
#include "operate/createkey.h"
#include "operate/exitcode.h"
#include "operate/operatorclient.h"
#include "operate/storeoptions.h"
#include "records/recordkey.h"

namespace cowsliphead::benchcommands
{

namespace
{

constexpr const char *AccountName = "bench-spread";

using Microseconds = std::chrono::duration<double, std::micro>;

/// Grants a new key and withdraws it, and waits after each change until all daemons apply it. Returns how many times a daemon was late.
Result<std::size_t> measureGrantAndWithdrawal(OperatorClient &client, PropagationProbe &probe, std::chrono::milliseconds timeout)
{
    const SystemClock clock;
    const auto created = createKey(AccountId(AccountName));
    const auto granted = client.put(created.recordText_);
    if (!granted) {
        return tl::unexpected(granted.error().code_);
    }
    auto late = probe.waitForStatus(created.key_, httpstatus::Ok, clock.now(), timeout);
    const auto withdrawn = client.withdraw(RecordKey{ "key", sha256Hex(created.key_) });
    if (!withdrawn) {
        return tl::unexpected(withdrawn.error());
    }
    late += probe.waitForStatus(created.key_, httpstatus::Unauthorized, clock.now(), timeout);
    return late;
}

void addSpreadOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("port", "Port of a daemon; may be repeated", cxxopts::value<std::vector<std::uint16_t>>());
    add("changes", "Number of keys to grant and withdraw", cxxopts::value<std::uint32_t>()->default_value("5"));
    add("longest-ms", "Maximum time to wait for one change, in milliseconds", cxxopts::value<std::uint32_t>()->default_value("30000"));
    addStoreOptions(options);
}

} // namespace

int spread(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead bench spread",
                             "Measures how long changes take to come into force at all daemons. Exit codes: 0 done, 1 not done, 2 wrong input.");
    addSpreadOptions(options);
    addPointOptions(options);
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("port") == 0) {
        (parsed.count("help") > 0 ? std::cout : std::cerr) << options.help();
        return parsed.count("help") > 0 ? exitcode::Success : exitcode::WrongInput;
    }
    OperatorClient client(storeSettingsFrom(parsed));
    PropagationProbe probe(parsed["port"].as<std::vector<std::uint16_t>>());
    auto point = pointFrom(parsed);
    if (!client.put(benchrecords::account(AccountName))) {
        std::cerr << "cowsliphead bench spread: the store does not answer\n";
        return exitcode::Failed;
    }
    for (std::uint32_t index = 0; index < parsed["changes"].as<std::uint32_t>(); ++index) {
        const auto late = measureGrantAndWithdrawal(client, probe, std::chrono::milliseconds(parsed["longest-ms"].as<std::uint32_t>()));
        if (!late) {
            std::cerr << "cowsliphead bench spread: " << late.error().message() << "\n";
            return exitcode::Failed;
        }
        point.values_["late"] += static_cast<double>(*late);
    }
    point.values_["inForce"] = static_cast<double>(probe.propagationTimes().count());
    point.values_["inForceMedianUs"] = Microseconds(probe.propagationTimes().quantile(0.5)).count();
    point.values_["inForce99Us"] = Microseconds(probe.propagationTimes().quantile(0.99)).count();
    point.values_["inForceLongestUs"] = Microseconds(probe.propagationTimes().quantile(1)).count();
    std::cout << point.toJson() << std::endl;
    return exitcode::Success;
}

} // namespace cowsliphead::benchcommands
