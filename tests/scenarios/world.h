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

/// The processes, requests and records of one scenario.
class World
{
public:
    explicit World(std::string program);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /// Starts a process of the program. Returns its number.
    std::size_t start(const std::vector<std::string> &arguments, const std::string &input);

    ChildProcess &process(std::size_t number);

    /// The store of the scenario; the first one started.
    void useStore(std::uint16_t port);

    /// Writes a record. Returns its revision. Throws on a firstError.
    std::uint64_t put(const std::string &text);

    /// Withdraws a record. Returns the revision. Throws on a failure.
    std::uint64_t withdraw(const std::string &kind, const std::string &name);

    /// Creates a key for the account and returns it.
    std::string createKey(const std::string &account);

    /// Sends a request and returns its number at once. Fields: port, method, path, headers, body or json, key.
    std::size_t open(const nlohmann::json &description);

    Exchange &exchange(std::size_t number);

    /// Leaves a request without waiting for its answer.
    void leave(std::size_t number);

    /// Waits until the condition holds. Returns false if the limit passes first.
    bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);

private:
    std::string program_;
    EventLoop loop_;
    StoreSettings store_;
    std::vector<std::unique_ptr<ChildProcess>> processes_;
    std::vector<std::unique_ptr<Exchange>> exchanges_;
};

} // namespace cowsliphead::scenarios
