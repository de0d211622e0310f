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

/// A daemon with a store, two engines and a plain service as tasks of the same process.
class Embedded
{
public:
    /// Starts everything and writes the records that a first request needs. Port 0 takes a free one.
    /// Errors: ListenFailed, StoreUnavailable. Thread safety: owner only.
    Result<EmbeddedAccess> start(std::uint16_t port);

    /// Takes no new work, and returns once all answers are written out. Thread safety: owner only.
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
