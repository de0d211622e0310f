#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "http1/callerconnection.h"
#include "http1/listener.h"
#include "task/eventloop.h"
#include "task/timer.h"

/// A stand-in for the platform's store: keys with revisions, watches, transactions and leases, over HTTP.
class StoreServer
{
public:
    explicit StoreServer(cowsliphead::EventLoop &loop);
    ~StoreServer();
    StoreServer(const StoreServer &) = delete;
    StoreServer &operator=(const StoreServer &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    /// Writes a key as the operator or an endpoint does; the change is confirmed when this returns.
    void put(const std::string &key, const std::string &value);

    /// Removes a key, as when an endpoint has left.
    void remove(const std::string &key);

    /// This part of the writes takes effect without an answer.
    void loseAnswers(double share);

private:
    struct Item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct Event {
        std::string key_;
        std::uint64_t revision_ = 0;
        bool isRemoval_ = false;
        Item item_;
    };

    /// A connection with the watch that waits on it, if any.
    struct Session {
        std::unique_ptr<cowsliphead::CallerConnection> connection_;
        std::string prefix_;
        std::uint64_t after_ = 0;
        bool isWatching_ = false;
        std::unique_ptr<cowsliphead::Timer> end_;
    };

    void accept(int socket);
    void answer(Session &session, const cowsliphead::CallerRequest &request);
    void read(Session &session, const std::string &key);
    void range(Session &session, const std::string &prefix, const std::string &after);
    void watch(Session &session, const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait);
    void answerWatch(Session &session);
    void transact(Session &session, const std::string &body);
    void grantLease(Session &session, const std::string &body);
    void renewLease(Session &session, std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void respond(Session &session, int status, const nlohmann::json &document);
    void set(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void wakeWatches();
    void expireLeases();
    bool losesAnswer();

    cowsliphead::EventLoop &loop_;
    std::map<std::string, Item> items_;
    std::deque<Event> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t nextLease_ = 1;
    struct Lease {
        std::chrono::milliseconds duration_;
        std::chrono::steady_clock::time_point until_;
    };
    std::map<std::uint64_t, Lease> leases_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t nextSession_ = 0;
    std::uint64_t writes_ = 0;
    double lostShare_ = 0;
    cowsliphead::Timer expiry_;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
};
