#include "soakledger.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace
{

/// The settings' bound on a withdrawn key, from the store's confirmation.
constexpr auto KeyBound = 5000ms;

/// The bound on a leaving endpoint, and the time in which a gateway that was cut off is in touch again.
constexpr auto LeaveBound = 2000ms + 3000ms;

} // namespace

std::string SoakLedger::bodyOf(const std::string &request, const std::string &endpoint)
{
    return "answer to " + request + " by " + endpoint + "\n";
}

std::string SoakLedger::accountOf(const std::string &key)
{
    return "account-of-" + key;
}

void SoakLedger::ran(const std::string &id, const std::string &endpoint, const std::string &account, bool showsKey)
{
    const auto now = std::chrono::steady_clock::now();
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        broken_.push_back(id + ": ran without being asked");
        return;
    }
    auto &request = found->second;
    ++request.runs_;
    request.endpoints_.push_back(endpoint);
    if (request.isOnce_ && request.runs_ > 1) {
        broken_.push_back(id + ": ran twice");
    }
    if (account != accountOf(request.key_)) {
        broken_.push_back(id + ": ran for another account, " + account);
    }
    if (showsKey) {
        broken_.push_back(id + ": its key reached an endpoint");
    }
    const auto withdrawal = withdrawnAt_.find(request.key_);
    if (withdrawal != withdrawnAt_.end() && request.sentAt_ > withdrawal->second + KeyBound) {
        broken_.push_back(id + ": ran with a key withdrawn long before");
    }
    const auto leaves = leavingAt_.find(endpoint);
    if (leaves != leavingAt_.end() && now > leaves->second + LeaveBound) {
        broken_.push_back(id + ": ran at an endpoint that left long before");
    }
}

void SoakLedger::withdrawn(const std::string &key)
{
    withdrawnAt_.emplace(key, std::chrono::steady_clock::now());
}

void SoakLedger::leaving(const std::string &endpoint)
{
    leavingAt_.emplace(endpoint, std::chrono::steady_clock::now());
}

std::vector<std::string> SoakLedger::findings() const
{
    auto findings = broken_;
    for (const auto &[id, request] : requests_) {
        if (!request.isWhole_) {
            continue;
        }
        const bool isPromise = request.status_ == 503 || request.status_ == 429 || request.status_ == 408;
        if (isPromise && request.isOnce_ && request.runs_ > 0) {
            findings.push_back(id + ": refused as not run, and ran");
        }
        const bool isSound = request.status_ != 200
            || std::any_of(request.endpoints_.begin(), request.endpoints_.end(), [&id = id, &request = request](const std::string &endpoint) {
                                 return request.body_ == bodyOf(id, endpoint);
                             });
        if (!isSound) {
            findings.push_back(id + ": got the answer '" + request.body_ + "'");
        }
    }
    return findings;
}

double SoakLedger::servedSince(Time from) const
{
    int asked = 0;
    int served = 0;
    for (const auto &[id, request] : requests_) {
        if (request.sentAt_ < from || withdrawnAt_.contains(request.key_)) {
            continue;
        }
        ++asked;
        served += request.isWhole_ && request.status_ == 200 ? 1 : 0;
    }
    return asked == 0 ? 0 : static_cast<double>(served) / asked;
}
