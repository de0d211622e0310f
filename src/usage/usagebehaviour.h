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

/// Counts what the serving task has passed on and keeps the counters in the store. A task's behaviour. Models UsageSink.
class UsageBehaviour
{
public:
    using Message = std::variant<UsageEntry, DrainRequest>;

    /// Precondition: the loop outlives the behaviour; no other process ever has the incarnation.
    /// Thread safety: the loop's task only.
    UsageBehaviour(EventLoop &loop, const StoreSettings &store, const UsageSettings &settings, const std::string &incarnation);
    ~UsageBehaviour();

    /// Thread safety: the loop's task only.
    void receive(Message message);

    /// Counts the entry; its sequence number is given here. Thread safety: the loop's task only.
    void take(UsageEntry entry);

    /// Writes what is left and stops the loop, at the latest when the time for it is over. Thread safety: the loop's task only.
    void take(DrainRequest request);

private:
    using Writer = UsageWriter<HttpStore, SystemClock>;

    void flush();
    bool isSettled() const;

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
