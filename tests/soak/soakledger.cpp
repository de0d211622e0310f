#include "soakledger.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace
{

/// The longest time that a withdrawn key may be accepted, from the confirmation by the store (setting keyWithdrawalMs).
constexpr auto KeyWithdrawalLimit = 5000ms;

/// The longest time that a draining endpoint may get requests (setting endpointLeaveMs), plus the time in which a gateway that was cut off reconnects (3 s).
constexpr auto EndpointDrainLimit = 2000ms + 3000ms;

} // namespace

std::string SoakLedger::expectedBody(const std::string &request, const std::string &endpoint)
{
    return "answer to " + request + " by " + endpoint + "\n";
}

std::string SoakLedger::accountForKey(const std::string &key)
{
    return "account-of-" + key;
}

void SoakLedger::recordRun(const std::string &id, const std::string &endpoint, const std::string &account, bool hasApiKey)
{
    const auto now = std::chrono::steady_clock::now();
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        observedViolations_.push_back(id + ": ran although no caller sent it");
        return;
    }
    auto &request = found->second;
    ++request.runs_;
    request.endpoints_.push_back(endpoint);
    if (request.isNonIdempotent_ && request.runs_ > 1) {
        observedViolations_.push_back(id + ": ran more than once although it is not idempotent");
    }
    if (account != accountForKey(request.key_)) {
        observedViolations_.push_back(id + ": ran for the wrong account, " + account);
    }
    if (hasApiKey) {
        observedViolations_.push_back(id + ": the caller's key reached an endpoint");
    }
    const auto withdrawal = keyWithdrawnAt_.find(request.key_);
    if (withdrawal != keyWithdrawnAt_.end() && request.sentAt_ > withdrawal->second + KeyWithdrawalLimit) {
        observedViolations_.push_back(id + ": ran with a withdrawn key after the limit");
    }
    const auto drain = endpointDrainedAt_.find(endpoint);
    if (drain != endpointDrainedAt_.end() && now > drain->second + EndpointDrainLimit) {
        observedViolations_.push_back(id + ": ran at a draining endpoint after the limit");
    }
}

void SoakLedger::recordKeyWithdrawal(const std::string &key)
{
    keyWithdrawnAt_.emplace(key, std::chrono::steady_clock::now());
}

void SoakLedger::recordEndpointDrain(const std::string &endpoint)
{
    endpointDrainedAt_.emplace(endpoint, std::chrono::steady_clock::now());
}

std::vector<std::string> SoakLedger::violations() const
{
    auto violations = observedViolations_;
    for (const auto &[id, request] : requests_) {
        if (!request.isComplete_) {
            continue;
        }
        const bool claimsNotRun = request.status_ == 503 || request.status_ == 429 || request.status_ == 408;
        if (claimsNotRun && request.isNonIdempotent_ && request.runs_ > 0) {
            violations.push_back(id + ": was refused as not run although it ran");
        }
        const bool isExpectedAnswer = request.status_ != 200
            || std::any_of(request.endpoints_.begin(), request.endpoints_.end(), [&id = id, &request = request](const std::string &endpoint) {
                                          return request.body_ == expectedBody(id, endpoint);
                                      });
        if (!isExpectedAnswer) {
            violations.push_back(id + ": got the wrong answer '" + request.body_ + "'");
        }
    }
    return violations;
}

double SoakLedger::successRateSince(Time from) const
{
    int sent = 0;
    int served = 0;
    for (const auto &[id, request] : requests_) {
        if (request.sentAt_ < from || keyWithdrawnAt_.contains(request.key_)) {
            continue;
        }
        ++sent;
        served += request.isComplete_ && request.status_ == 200 ? 1 : 0;
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
}
