#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What callers asked, what endpoints did and what the operator changed, for the checks of a soak.
class SoakLedger
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// One request of a caller.
    struct Request {
        Time sentAt_;
        std::string key_;
        bool isOnce_ = false;

        /// The status that the caller got; nothing if the connection ended before a whole answer.
        std::optional<int> status_;
        std::string body_;
        bool isWhole_ = false;
        bool callerLeft_ = false;
        int runs_ = 0;
        std::vector<std::string> endpoints_;
    };

    /// An endpoint begins to run a request. expectedAccount is the one that must have sent it.
    void ran(const std::string &request, const std::string &endpoint, const std::string &account, bool showsKey);

    /// The operator has withdrawn a key, or an endpoint has said that it leaves; the store has confirmed that.
    void withdrawn(const std::string &key);
    void leaving(const std::string &endpoint);

    Request &request(const std::string &id)
    {
        return requests_[id];
    }

    /// The answer that an endpoint gives to the request.
    static std::string bodyOf(const std::string &request, const std::string &endpoint);

    /// The account that holds a key.
    static std::string accountOf(const std::string &key);

    /// Broken promises so far, one line each.
    std::vector<std::string> findings() const;

    /// The part of the requests sent since then that got a whole success.
    double servedSince(Time from) const;

private:
    std::map<std::string, Request> requests_;
    std::map<std::string, Time> withdrawnAt_;
    std::map<std::string, Time> leavingAt_;
    std::vector<std::string> broken_;
};
