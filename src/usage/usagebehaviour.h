#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/systemclock.h"
#include "decide/usageentry.h"
#include "serve/drainrequest.h"
#include "store/httpstore.h"
#include "store/storesettings.h"
#include "task/timer.h"
#include "usage/usagesettings.h"
#include "usage/usagewriter.h"

namespace cowsliphead
{

class EventLoop;

/// Counts the usage entries that the serving task sends and writes the counters to the store. Runs as the behaviour of a task. Models
/// UsageSink. Thread safety: the loop's task only.
class UsageBehaviour
{
public:
    using Message = std::variant<UsageEntry, DrainRequest>;

    /// Precondition: the loop outlives the behaviour; no other process ever uses the same incarnation.
    UsageBehaviour(EventLoop &loop, const StoreSettings &store, const UsageSettings &settings, const std::string &incarnation);
    ~UsageBehaviour();

    void receive(Message message);

    /// Assigns the entry its sequence number and counts it.
    void handle(UsageEntry entry);

    /// Writes the remaining counts and then stops the loop, or stops it at the time limit for draining if they could not be written.
    void handle(DrainRequest request);

private:
    using Writer = UsageWriter<HttpStore, SystemClock>;

    void flush();
    bool isFullyWritten() const;

    EventLoop &loop_;
    SystemClock clock_;
    HttpStore store_;
    UsageSettings settings_;
    std::vector<std::unique_ptr<Writer>> writers_;
    std::vector<std::uint64_t> sequences_;
    bool isDraining_ = false;
    Timer flushTimer_;
    Timer drainTimer_;
};

} // namespace cowsliphead
