#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Records the caller's requests, their runs at endpoints and the operator's changes, and checks the gateways' guarantees against them.
class SoakLedger
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// A request of the caller, its answer and its runs.
    struct Request {
        Time sentAt_;
        std::string key_;
        bool isNonIdempotent_ = false;

        /// The status that the caller received; nothing without a complete answer.
        std::optional<int> status_;
        std::string body_;
        bool isComplete_ = false;
        bool hasTimedOut_ = false;
        int runs_ = 0;
        std::vector<std::string> endpoints_;
    };

    /// Records that an endpoint starts to run a request, and checks the run. account: the account that the gateway named to the endpoint.
    /// hasApiKey: whether the endpoint received the caller's key.
    void recordRun(const std::string &request, const std::string &endpoint, const std::string &account, bool hasApiKey);

    /// Record that the store has confirmed the withdrawal of a key, or the entry of an endpoint that drains.
    void recordKeyWithdrawal(const std::string &key);
    void recordEndpointDrain(const std::string &endpoint);

    Request &request(const std::string &id)
    {
        return requests_[id];
    }

    /// The body of the answer that an endpoint gives to the request.
    static std::string expectedBody(const std::string &request, const std::string &endpoint);

    /// The account that owns the key.
    static std::string accountForKey(const std::string &key);

    /// The violated guarantees so far, one line each.
    std::vector<std::string> violations() const;

    /// The share of the requests sent since then, with a key that is still valid, that got a complete answer with status 200.
    double successRateSince(Time from) const;

private:
    std::map<std::string, Request> requests_;
    std::map<std::string, Time> keyWithdrawnAt_;
    std::map<std::string, Time> endpointDrainedAt_;
    std::vector<std::string> observedViolations_;
};
