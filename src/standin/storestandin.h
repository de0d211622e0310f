#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include <nlohmann/json_fwd.hpp>

#include "core/result.h"
#include "core/systemclock.h"
#include "http/httpserver.h"
#include "standin/standinfault.h"
#include "store/memorystore.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;

/// Simulates the platform's key-value service over HTTP, with faults that tests can switch on.
/// A task's behaviour. Thread safety: the loop's task only.
class StoreStandin
{
public:
    /// There are no messages; the sockets drive this behaviour.
    using Message = std::monostate;

    /// Precondition: the loop outlives the stand-in.
    explicit StoreStandin(EventLoop &loop);
    ~StoreStandin();

    /// Port 0 selects a free port. Returns the port. Errors: ListenFailed.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Does nothing, since there are no messages.
    void receive(Message message);

private:
    /// A watch request without changes so far; it is answered at the next change or at its timeout.
    struct Watch {
        std::string prefix_;
        StoreRevision after_;
        std::shared_ptr<HttpResponder> responder_;
        std::unique_ptr<Timer> timeout_;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleService(const std::string &path, const nlohmann::json &body, const std::shared_ptr<HttpResponder> &responder);
    void setFault(const nlohmann::json &body, HttpResponder &responder);
    void swap(const nlohmann::json &body, HttpResponder &responder);
    void read(const nlohmann::json &body, HttpResponder &responder);
    void list(const nlohmann::json &body, HttpResponder &responder);
    void watch(const nlohmann::json &body, const std::shared_ptr<HttpResponder> &responder);
    void changeLease(const std::string &path, const nlohmann::json &body, HttpResponder &responder);
    void answerWatches();
    static void answerWatch(HttpResponder &responder, const Result<WatchAnswer> &changes);
    void scheduleExpiry();

    /// Answers a write, unless the fault is to lose answers.
    void answerWrite(HttpResponder &responder, int status, const nlohmann::json &body);
    static void answer(HttpResponder &responder, int status, const nlohmann::json &body);

    EventLoop &loop_;
    SystemClock clock_;
    MemoryStore store_;
    StandinFault fault_ = StandinFault::None;
    std::chrono::milliseconds delay_{ 0 };
    std::list<Watch> watches_;
    std::list<std::unique_ptr<Timer>> delayedRequests_;
    std::map<std::string, std::uint64_t> counts_;
    Timer expiryTimer_;
    HttpServer server_;
};

} // namespace cowsliphead
