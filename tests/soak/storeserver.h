#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "http1/callerconnection.h"
#include "http1/listener.h"
#include "task/eventloop.h"
#include "task/timer.h"

/// A stand-in for the platform's store. Serves keys with revisions, watches, transactions and leases over HTTP, and can come back from a copy.
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

    /// Writes a key on behalf of the operator or an endpoint. The change is in the store when this returns.
    void put(const std::string &key, const std::string &value);

    /// Removes a key, for example the entry of an endpoint that has left.
    void remove(const std::string &key);

    /// The store turns all calls away and then comes back, in the next era, from the newest copy that is at least this old. What was written with
    /// put() and remove() since is written again.
    void restore(std::chrono::milliseconds copyAge, std::chrono::milliseconds away);

    /// Executes this share of the transactions without answering them; 0 answers all.
    void setLostAnswerShare(double share);

private:
    struct Item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct Lease {
        std::chrono::milliseconds duration_;
        std::chrono::steady_clock::time_point expiresAt_;
    };

    struct Event {
        std::string key_;
        std::uint64_t revision_ = 0;
        bool isRemoval_ = false;
        Item item_;
    };

    /// What comes back with a copy.
    struct Content {
        std::map<std::string, Item> items_;
        std::deque<Event> history_;
        std::uint64_t revision_ = 1;
        std::uint64_t nextLease_ = 1;
        std::map<std::uint64_t, Lease> leases_;
    };

    struct Copy {
        std::chrono::steady_clock::time_point madeAt_;
        Content content_;
    };

    /// A write with put() or remove().
    struct OutsideWrite {
        std::chrono::steady_clock::time_point writtenAt_;
        std::string key_;
        std::optional<std::string> value_;
    };

    /// A connection and the watch pending on it, if any.
    struct Session {
        std::unique_ptr<cowsliphead::CallerConnection> connection_;
        std::string prefix_;
        std::uint64_t after_ = 0;
        bool isWatching_ = false;
        std::unique_ptr<cowsliphead::Timer> watchTimeout_;
    };

    void accept(int socket);
    void handleRequest(Session &session, const cowsliphead::CallerRequest &request);
    void readKey(Session &session, const std::string &key);
    void readRange(Session &session, const std::string &prefix, const std::string &after);
    void startWatch(Session &session, const std::string &prefix, std::uint64_t after, std::chrono::milliseconds wait);
    void answerWatch(Session &session);
    void runTransaction(Session &session, const std::string &body);
    void grantLease(Session &session, const std::string &body);
    void renewLease(Session &session, std::uint64_t lease);
    void endLease(std::uint64_t lease);
    void answer(Session &session, int status, const nlohmann::json &document);
    void setItem(const std::string &key, const std::string &value, std::uint64_t lease);
    void eraseItem(const std::string &key);
    void answerReadyWatches();
    void expireLeases();
    void keepCopy();
    void comeBack(std::chrono::steady_clock::time_point copyMadeBy);
    void writeAgain(std::chrono::steady_clock::time_point since);
    void writeOutside(const std::string &key, const std::optional<std::string> &value);
    /// Counts an executed transaction. Returns true if its answer has to be lost.
    bool countWriteUntilLostAnswer();

    cowsliphead::EventLoop &loop_;
    Content content_;
    std::deque<Copy> copies_;
    std::deque<OutsideWrite> outsideWrites_;
    std::uint64_t era_ = 1;
    bool isAway_ = false;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t lastSessionNumber_ = 0;
    std::uint64_t writes_ = 0;
    double lostAnswerShare_ = 0;
    cowsliphead::Timer leaseExpiryTimer_;
    cowsliphead::Timer returnTimer_;
    std::chrono::steady_clock::time_point copyMadeBy_;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
};
