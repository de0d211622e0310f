#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "scenarios/childprocess.h"
#include "scenarios/exchange.h"
#include "store/storesettings.h"
#include "task/eventloop.h"

namespace cowsliphead::scenarios
{

/// Holds the processes and requests of one scenario and writes records to its store.
class ScenarioEnvironment
{
public:
    explicit ScenarioEnvironment(std::string program);
    ~ScenarioEnvironment();
    ScenarioEnvironment(const ScenarioEnvironment &) = delete;
    ScenarioEnvironment &operator=(const ScenarioEnvironment &) = delete;

    /// Starts a process of the program under test. Returns its number.
    std::size_t start(const std::vector<std::string> &arguments, const std::string &input);

    ChildProcess &process(std::size_t number);

    /// Sets the port of the store that put(), withdraw() and createKey() write to.
    void useStore(std::uint16_t port);

    /// Writes a record, given as JSON text. Returns its revision. Throws std::system_error on a failure.
    std::uint64_t put(const std::string &text);

    /// Withdraws a record. Returns the revision. Throws std::system_error on a failure.
    std::uint64_t withdraw(const std::string &kind, const std::string &name);

    /// Creates a key for the account, writes its record and returns it. Throws std::system_error on a failure.
    std::string createKey(const std::string &account);

    /// Sends a request and returns its number at once. Fields of the description: port, method, path, query, headers, body or json, key.
    std::size_t sendRequest(const nlohmann::json &description);

    Exchange &exchange(std::size_t number);

    /// Cancels a request without waiting for its answer.
    void cancelRequest(std::size_t number);

    /// Runs the event loop until the condition holds. Returns false if the limit passes first.
    bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

private:
    std::string program_;
    EventLoop loop_;
    StoreSettings store_;
    std::vector<std::unique_ptr<ChildProcess>> processes_;
    std::vector<std::unique_ptr<Exchange>> exchanges_;
};

} // namespace cowsliphead::scenarios
