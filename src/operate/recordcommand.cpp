#include <iostream>
#include <optional>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "core/errorcode.h"
#include "operate/commands.h"
#include "operate/exitcode.h"
#include "operate/operatorclient.h"
#include "operate/readfile.h"
#include "operate/storeoptions.h"
#include "records/recordset.h"

namespace cowsliphead::commands
{

namespace
{

int put(OperatorClient &client, const std::string &file)
{
    const auto text = readFile(file);
    if (!text) {
        std::cerr << file << ": " << text.error().message() << "\n";
        return exitcode::WrongInput;
    }
    const auto revision = client.put(*text);
    if (!revision) {
        std::cerr << file << ": " << revision.error().describe() << "\n";
        return revision.error().code_ == ErrorCode::StoreUnavailable ? exitcode::Failed : exitcode::WrongInput;
    }
    std::cout << R"({"revision":)" << *revision << "}\n";
    return exitcode::Success;
}

std::optional<RecordKey> keyFrom(const std::string &text)
{
    const auto slash = text.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    return RecordKey{ text.substr(0, slash), text.substr(slash + 1) };
}

int withdraw(OperatorClient &client, const std::string &target)
{
    const auto key = keyFrom(target);
    if (!key) {
        std::cerr << target << ": expected KIND/NAME\n";
        return exitcode::WrongInput;
    }
    const auto revision = client.withdraw(*key);
    if (!revision) {
        std::cerr << target << ": " << revision.error().message() << "\n";
        return exitcode::Failed;
    }
    std::cout << R"({"revision":)" << *revision << "}\n";
    return exitcode::Success;
}

int show(OperatorClient &client, const std::string &target)
{
    const auto records = client.records();
    if (!records) {
        std::cerr << "store: " << records.error().message() << "\n";
        return exitcode::Failed;
    }
    bool isFound = false;
    for (const auto &[key, record] : (*records)->all()) {
        const auto name = key.kind_ + "/" + key.name_;
        if (target.empty()) {
            std::cout << name << "\n";
        } else if (name == target) {
            std::cout << record->text_ << "\n";
            isFound = true;
        }
    }
    return target.empty() || isFound ? exitcode::Success : exitcode::Failed;
}

} // namespace

int record(int argc, char **argv)
{
    cxxopts::Options options("cowsliphead record", "Writes, withdraws and shows records. Exit codes: 0 done, 1 not done, 2 wrong input.");
    auto add = options.add_options();
    add("action", "put, withdraw, get or list", cxxopts::value<std::string>());
    add("target", "put: a file or -; withdraw and get: KIND/NAME", cxxopts::value<std::string>()->default_value(""));
    add("h,help", "Show this help");
    addStoreOptions(options);
    options.parse_positional({ "action", "target" });
    options.positional_help("put FILE | withdraw KIND/NAME | get KIND/NAME | list");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return exitcode::Success;
    }
    const auto action = parsed.count("action") > 0 ? parsed["action"].as<std::string>() : std::string();
    const auto target = parsed["target"].as<std::string>();
    OperatorClient client(storeSettingsFrom(parsed));
    if (action == "put" && !target.empty()) {
        return put(client, target);
    }
    if (action == "withdraw") {
        return withdraw(client, target);
    }
    if (action == "get" && !target.empty()) {
        return show(client, target);
    }
    if (action == "list") {
        return show(client, {});
    }
    std::cerr << options.help();
    return exitcode::WrongInput;
}

} // namespace cowsliphead::commands
