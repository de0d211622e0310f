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
#include "decide/admission/waiting.h"

namespace cowsliphead
{

/// Requests that wait for capacity, taken out so that each client account gets its weighted share of the tokens.
///
/// Start-time fair queueing: an account's virtual time grows by cost over weight with each request taken out, and the waiting
/// account with the smallest one is next. An account that comes back starts at the present virtual time, so it saves up nothing.
template <typename Ticket>
class FairQueue
{
public:
    /// Precondition: weight is positive. Thread safety: owner task only.
    void push(const AccountId &account, std::uint32_t weight, const Waiting<Ticket> &waiting)
    {
        auto &lane = lanes_[account];
        if (lane.waiting_.empty()) {
            lane.virtualTime_ = std::max(lane.virtualTime_, virtualTime_);
        }
        lane.weight_ = weight;
        lane.waiting_.push_back(waiting);
        lane.cost_ += waiting.cost_;
        ++size_;
        cost_ += waiting.cost_;
    }

    /// The next request, or nothing if none waits. Thread safety: owner task only.
    std::optional<Waiting<Ticket>> pop()
    {
        auto next = lanes_.end();
        for (auto lane = lanes_.begin(); lane != lanes_.end(); ++lane) {
            const bool isWaiting = !lane->second.waiting_.empty();
            if (isWaiting && (next == lanes_.end() || lane->second.virtualTime_ < next->second.virtualTime_)) {
                next = lane;
            }
        }
        if (next == lanes_.end()) {
            return std::nullopt;
        }
        const auto taken = next->second.waiting_.front();
        virtualTime_ = next->second.virtualTime_;
        next->second.virtualTime_ += static_cast<double>(taken.cost_) / next->second.weight_;
        remove(next->second, next->second.waiting_.begin());
        forgetIfPast(next);
        return taken;
    }

    /// Takes out a request whose caller has left. Returns false if it does not wait. Thread safety: owner task only.
    bool erase(const AccountId &account, const Ticket &ticket)
    {
        const auto lane = lanes_.find(account);
        if (lane == lanes_.end()) {
            return false;
        }
        auto &waiting = lane->second.waiting_;
        const auto found = std::find_if(waiting.begin(), waiting.end(), [&](const auto &candidate) { return candidate.ticket_ == ticket; });
        if (found == waiting.end()) {
            return false;
        }
        remove(lane->second, found);
        return true;
    }

    /// Thread safety: owner task only.
    std::size_t size() const
    {
        return size_;
    }

    /// Requests of one account that wait. Thread safety: owner task only.
    std::size_t size(const AccountId &account) const
    {
        const auto lane = lanes_.find(account);
        return lane == lanes_.end() ? 0 : lane->second.waiting_.size();
    }

    /// The cost of one account's requests that wait. Thread safety: owner task only.
    double costOf(const AccountId &account) const
    {
        const auto lane = lanes_.find(account);
        return lane == lanes_.end() ? 0.0 : static_cast<double>(lane->second.cost_);
    }

    /// The cost that is served before a new request of the account, if all accounts go on as they are. Thread safety: owner task only.
    double costAhead(const AccountId &account, std::uint32_t weight) const
    {
        const auto ownCost = costOf(account);
        double ahead = ownCost;
        for (const auto &[other, lane] : lanes_) {
            if (other != account) {
                // While the account's own backlog is served, another one gets its share by weight, and no more than it has waiting.
                const auto share = (ownCost + 1.0) * lane.weight_ / weight;
                ahead += std::min(share, static_cast<double>(lane.cost_));
            }
        }
        return ahead;
    }

    /// Calls back with each waiting request whose deadline has passed, and takes it out. Thread safety: owner task only.
    template <typename Expired>
    void expire(MonotonicTime now, const Expired &expired)
    {
        for (auto &[account, lane] : lanes_) {
            for (auto waiting = lane.waiting_.begin(); waiting != lane.waiting_.end();) {
                if (waiting->deadline_ > now) {
                    ++waiting;
                    continue;
                }
                const auto late = *waiting;
                waiting = remove(lane, waiting);
                expired(late);
            }
        }
    }

private:
    struct Lane {
        std::deque<Waiting<Ticket>> waiting_;
        double virtualTime_ = 0;
        std::uint32_t weight_ = 1;
        TokenCost cost_ = 0;
    };

    using Lanes = std::map<AccountId, Lane>;

    typename std::deque<Waiting<Ticket>>::iterator remove(Lane &lane, typename std::deque<Waiting<Ticket>>::iterator place)
    {
        lane.cost_ -= place->cost_;
        cost_ -= place->cost_;
        --size_;
        return lane.waiting_.erase(place);
    }

    /// An account that waits for nothing and is owed nothing needs no state.
    void forgetIfPast(typename Lanes::iterator lane)
    {
        std::erase_if(lanes_, [&](const auto &other) {
            return other.first != lane->first && other.second.waiting_.empty() && other.second.virtualTime_ <= virtualTime_;
        });
    }

    Lanes lanes_;
    double virtualTime_ = 0;
    std::size_t size_ = 0;
    TokenCost cost_ = 0;
};

} // namespace cowsliphead
