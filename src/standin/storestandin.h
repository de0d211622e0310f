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

/// Stands in for the platform's key-value service: its rules over HTTP, with switches for its failures. A task's behaviour.
class StoreStandin
{
public:
    /// It takes no message; it is driven by its sockets.
    using Message = std::monostate;

    /// Precondition: the loop outlives the stand-in. Thread safety: the loop's task only.
    explicit StoreStandin(EventLoop &loop);
    ~StoreStandin();

    /// Port 0 takes a free one. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message message);

private:
    struct Watch {
        std::string prefix_;
        StoreRevision after_ = 0;
        std::shared_ptr<HttpResponder> responder_;
        std::unique_ptr<Timer> timeout_;
    };

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void handleService(const std::string &path, const nlohmann::json &question, const std::shared_ptr<HttpResponder> &responder);
    void setFault(const nlohmann::json &question, HttpResponder &responder);
    void swap(const nlohmann::json &question, HttpResponder &responder);
    void read(const nlohmann::json &question, HttpResponder &responder);
    void list(const nlohmann::json &question, HttpResponder &responder);
    void watch(const nlohmann::json &question, const std::shared_ptr<HttpResponder> &responder);
    void changeLease(const std::string &path, const nlohmann::json &question, HttpResponder &responder);
    void answerWatches();
    void scheduleExpiry();
    void answerWrite(HttpResponder &responder, int status, const nlohmann::json &answer);
    static void answer(HttpResponder &responder, int status, const nlohmann::json &answer);

    EventLoop &loop_;
    SystemClock clock_;
    MemoryStore store_;
    StandinFault fault_ = StandinFault::None;
    std::chrono::milliseconds delay_{ 0 };
    std::list<Watch> watches_;
    std::list<std::unique_ptr<Timer>> delays_;
    std::map<std::string, std::uint64_t> counts_;
    Timer expiry_;
    HttpServer server_;
};

} // namespace cowsliphead
