#include <iostream>

#include <cxxopts.hpp>

#include "bench/benchcommands.h"
#include "bench/benchrecords.h"
#include "bench/bulkrecordwriter.h"
#include "bench/pointoptions.h"
#include "bench/processusage.h"
#include "operate/createdkey.h"
#include "operate/createkey.h"
#include "operate/exitcode.h"
#include "operate/storeoptions.h"

namespace cowsliphead::benchcommands
{

namespace
{

void addFillOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("accounts", "Number of client accounts to write, each with a key", cxxopts::value<std::uint32_t>()->default_value("0"));
    add("engines", "Number of engines to write, all with the engine port", cxxopts::value<std::uint32_t>()->default_value("0"));
    add("engine-port", "Port of the engine", cxxopts::value<std::uint16_t>()->default_value("0"));
    add("changes", "Number of times to rewrite one account", cxxopts::value<std::uint32_t>()->default_value("0"));
    add("model", "Model to write, which all engines serve", cxxopts::value<std::string>()->default_value("small"));
    add("prefix", "Prefix of the record names", cxxopts::value<std::string>()->default_value("bench"));
    add("gap-us", "Microseconds between writes", cxxopts::value<std::uint32_t>()->default_value("0"));
    addStoreOptions(options);
}

/// The texts of the records to write. Sets key to the last API key that was created, if any.
std::vector<std::string> textsFrom(const cxxopts::ParseResult &parsed, std::string &key)
{
    const auto prefix = parsed["prefix"].as<std::string>();
    const auto model = parsed["model"].as<std::string>();
    std::vector<std::string> texts{ benchrecords::model(model) };
    for (std::uint32_t index = 0; index < parsed["engines"].as<std::uint32_t>(); ++index) {
        texts.push_back(benchrecords::engine(prefix + "-engine-" + std::to_string(index), parsed["engine-port"].as<std::uint16_t>(), model));
    }
    for (std::uint32_t index = 0; index < parsed["accounts"].as<std::uint32_t>(); ++index) {
        const auto name = prefix + "-account-" + std::to_string(index);
        const auto created = createKey(AccountId(name));
        key = created.key_;
        texts.push_back(benchrecords::account(name));
        texts.push_back(created.recordText_);
    }
    for (std::uint32_t index = 0; index < parsed["changes"].as<std::uint32_t>(); ++index) {
        texts.push_back(benchrecords::account(prefix + "-changed"));
    }
    return texts;
}

int fail(std::error_code code)
{
    std::cerr << "cowsliphead bench fill: " << code.message() << "\n";
    return exitcode::Failed;
}

} // namespace

int fill(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead bench fill", "Writes many records. Exit codes: 0 done, 1 not done, 2 wrong input.");
    addFillOptions(options);
    addPointOptions(options);
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    std::string key;
    auto texts = textsFrom(parsed, key);
    auto point = pointFrom(parsed);
    const auto processes = processesFrom(parsed);
    const auto before = readProcessUsage(processes);
    BulkRecordWriter writer(storeSettingsFrom(parsed));
    const auto revision = writer.write(std::move(texts), std::chrono::microseconds(parsed["gap-us"].as<std::uint32_t>()));
    const auto after = readProcessUsage(processes);
    if (!revision) {
        return fail(revision.error());
    }
    if (!before || !after) {
        return fail((before ? after : before).error());
    }
    if (!key.empty()) {
        std::cerr << key << std::endl;
    }
    point.values_ = after->since(*before).values();
    std::cout << point.toJson() << std::endl;
    return exitcode::Success;
}

} // namespace cowsliphead::benchcommands
