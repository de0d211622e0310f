#pragma once

#include <array>
#include <cstdint>

#include "core/result.h"
#include "operate/daemon.h"
#include "operate/embeddedaccess.h"
#include "standin/enginestandin.h"
#include "standin/servicestandin.h"
#include "standin/storestandin.h"
#include "task/task.h"

namespace cowsliphead
{

class OperatorClient;

/// Runs a daemon and stand-ins for a store, two engines and a plain service as tasks of one process. Thread safety: owner only.
class EmbeddedDeployment
{
public:
    /// Starts all tasks and writes the records needed to serve a first request. Port 0 picks a free one.
    /// Errors: ListenFailed, StoreUnavailable.
    Result<EmbeddedAccess> start(std::uint16_t port);

    /// Stops accepting requests, lets those in flight end, and returns once the daemon's tasks have stopped.
    void drain();

private:
    static constexpr std::size_t EngineCount = 2;

    Result<std::uint16_t> startStore();
    Result<std::uint16_t> startEngine(std::size_t index);
    Result<std::uint16_t> startService();
    Result<std::string> writeRecords(OperatorClient &client);

    Task<StoreStandin> store_;
    std::array<Task<EngineStandin>, EngineCount> engines_;
    Task<ServiceStandin> service_;
    Daemon daemon_;
};

} // namespace cowsliphead
