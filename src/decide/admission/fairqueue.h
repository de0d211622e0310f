#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/accountid.h"
#include "decide/admission/tokencost.h"
#include "decide/admission/waitingrequest.h"

namespace cowsliphead
{

/// Queue of requests that wait for capacity, in which each client account gets its weighted share of the tokens.
///
/// Start-time fair queueing: an account's virtual time increases by cost / weight with each dequeued request, and the waiting account
/// with the smallest virtual time is next. An account that returns after an idle period starts at the current virtual time, so it
/// accumulates no credit.
///
/// Thread safety: owner task only.
template <typename Ticket>
class FairQueue
{
public:
    /// Precondition: weight is positive.
    void push(const AccountId &account, std::uint32_t weight, const WaitingRequest<Ticket> &waiting)
    {
        auto &flow = flows_[account];
        if (flow.waiting_.empty()) {
            flow.virtualTime_ = std::max(flow.virtualTime_, virtualTime_);
        }
        flow.weight_ = weight;
        flow.waiting_.push_back(waiting);
        flow.cost_ += waiting.cost_;
        ++size_;
        cost_ += waiting.cost_;
    }

    /// Removes and returns the next request; nothing if none waits.
    std::optional<WaitingRequest<Ticket>> pop()
    {
        auto next = flows_.end();
        for (auto flow = flows_.begin(); flow != flows_.end(); ++flow) {
            const bool isWaiting = !flow->second.waiting_.empty();
            if (isWaiting && (next == flows_.end() || flow->second.virtualTime_ < next->second.virtualTime_)) {
                next = flow;
            }
        }
        if (next == flows_.end()) {
            return std::nullopt;
        }
        const auto request = next->second.waiting_.front();
        virtualTime_ = next->second.virtualTime_;
        next->second.virtualTime_ += static_cast<double>(request.cost_) / next->second.weight_;
        remove(next->second, next->second.waiting_.begin());
        removeIdleFlows(next);
        return request;
    }

    /// Removes a request whose caller has disconnected. Returns false if it is not queued.
    bool erase(const AccountId &account, const Ticket &ticket)
    {
        const auto flow = flows_.find(account);
        if (flow == flows_.end()) {
            return false;
        }
        auto &waiting = flow->second.waiting_;
        const auto found = std::find_if(waiting.begin(), waiting.end(), [&](const auto &candidate) { return candidate.ticket_ == ticket; });
        if (found == waiting.end()) {
            return false;
        }
        remove(flow->second, found);
        return true;
    }

    std::size_t size() const
    {
        return size_;
    }

    /// Number of queued requests of one account.
    std::size_t size(const AccountId &account) const
    {
        const auto flow = flows_.find(account);
        return flow == flows_.end() ? 0 : flow->second.waiting_.size();
    }

    /// Total cost of all queued requests.
    double cost() const
    {
        return static_cast<double>(cost_);
    }

    /// Total cost of one account's queued requests.
    double costOf(const AccountId &account) const
    {
        const auto flow = flows_.find(account);
        return flow == flows_.end() ? 0.0 : static_cast<double>(flow->second.cost_);
    }

    /// Estimated cost that is served before a new request of the account, with the backlogs as they are now.
    double costAhead(const AccountId &account, std::uint32_t weight) const
    {
        const auto ownCost = costOf(account);
        double ahead = ownCost;
        for (const auto &[other, flow] : flows_) {
            if (other != account) {
                // While the account's own backlog is served, another account gets its share by weight, but no more than it has
                // queued.
                const auto share = (ownCost + 1.0) * flow.weight_ / weight;
                ahead += std::min(share, static_cast<double>(flow.cost_));
            }
        }
        return ahead;
    }

    /// Removes each queued request whose deadline has passed, and calls expired with it.
    template <typename Expired>
    void expire(MonotonicTime now, const Expired &expired)
    {
        for (auto &[account, flow] : flows_) {
            for (auto waiting = flow.waiting_.begin(); waiting != flow.waiting_.end();) {
                if (waiting->deadline_ > now) {
                    ++waiting;
                    continue;
                }
                const auto late = *waiting;
                waiting = remove(flow, waiting);
                expired(late);
            }
        }
    }

private:
    struct Flow {
        std::deque<WaitingRequest<Ticket>> waiting_;
        double virtualTime_ = 0;
        std::uint32_t weight_ = 1;
        TokenCost cost_ = 0;
    };

    using Flows = std::map<AccountId, Flow>;

    typename std::deque<WaitingRequest<Ticket>>::iterator remove(Flow &flow, typename std::deque<WaitingRequest<Ticket>>::iterator position)
    {
        flow.cost_ -= position->cost_;
        cost_ -= position->cost_;
        --size_;
        return flow.waiting_.erase(position);
    }

    /// Removes the other accounts that have no queued request and are not ahead in virtual time: their state equals that of a new
    /// account.
    void removeIdleFlows(typename Flows::iterator flow)
    {
        std::erase_if(flows_, [&](const auto &other) {
            return other.first != flow->first && other.second.waiting_.empty() && other.second.virtualTime_ <= virtualTime_;
        });
    }

    Flows flows_;
    double virtualTime_ = 0;
    std::size_t size_ = 0;
    TokenCost cost_ = 0;
};

} // namespace cowsliphead
