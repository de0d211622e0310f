#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "operate/commands.h"
#include "operate/createkey.h"
#include "operate/exitcode.h"
#include "operate/operatorclient.h"
#include "operate/storeoptions.h"

namespace cowsliphead::commands
{

int key(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead key", "Creates an API key and prints it; it cannot be shown again. Exit codes: 0 done, 1 not done, 2 wrong input.");
    auto add = options.add_options();
    add("action", "create", cxxopts::value<std::string>());
    add("account", "Client account that the key authenticates", cxxopts::value<std::string>());
    add("h,help", "Show this help");
    addStoreOptions(options);
    options.parse_positional({ "action", "account" });
    options.positional_help("create ACCOUNT");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    if (parsed.count("account") == 0 || parsed["action"].as<std::string>() != "create") {
        std::cerr << options.help();
        return exitcode::WrongInput;
    }
    const auto created = createKey(AccountId(parsed["account"].as<std::string>()));
    OperatorClient client(storeSettingsFrom(parsed));
    const auto revision = client.put(created.recordText_);
    if (!revision) {
        std::cerr << "key: " << revision.error().describe() << "\n";
        return exitcode::Failed;
    }
    const nlohmann::ordered_json line = {
        { "key", created.key_ },
        { "record", "key/" + nlohmann::json::parse(created.recordText_)["name"].get<std::string>() },
        { "revision", *revision },
    };
    std::cout << line.dump() << "\n";
    return exitcode::Success;
}

} // namespace cowsliphead::commands
