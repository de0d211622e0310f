#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "decide/admission/fairqueue.h"

namespace cowsliphead
{

/// Queue of requests that wait for capacity, by priority and, within one priority, by the fair shares of the client accounts. Thread safety:
/// owner task only.
template <typename Ticket>
class PriorityFairQueue
{
public:
    /// Precondition: weight is positive.
    void push(const AccountId &account, std::uint32_t weight, const WaitingRequest<Ticket> &waiting)
    {
        levels_[waiting.priority_].push(account, weight, waiting);
    }

    /// Removes and returns the next request; nothing if none waits.
    std::optional<WaitingRequest<Ticket>> pop()
    {
        for (auto &[priority, queue] : levels_) {
            if (auto waiting = queue.pop()) {
                return waiting;
            }
        }
        return std::nullopt;
    }

    /// Removes a request whose caller has disconnected. Returns false if it is not queued.
    bool erase(const AccountId &account, const Ticket &ticket)
    {
        for (auto &[priority, queue] : levels_) {
            if (queue.erase(account, ticket)) {
                return true;
            }
        }
        return false;
    }

    std::size_t size() const
    {
        std::size_t size = 0;
        for (const auto &[priority, queue] : levels_) {
            size += queue.size();
        }
        return size;
    }

    /// Number of queued requests of one account.
    std::size_t size(const AccountId &account) const
    {
        std::size_t size = 0;
        for (const auto &[priority, queue] : levels_) {
            size += queue.size(account);
        }
        return size;
    }

    /// Total cost of one account's queued requests that are served before a new one of this priority.
    double costOf(const AccountId &account, int priority) const
    {
        double cost = 0;
        for (auto level = levels_.begin(); level != levels_.end() && level->first <= priority; ++level) {
            cost += level->second.costOf(account);
        }
        return cost;
    }

    /// Estimated cost that is served before a new request of the account with this priority, with the backlogs as they are now.
    double costAhead(const AccountId &account, std::uint32_t weight, int priority) const
    {
        double ahead = 0;
        for (auto level = levels_.begin(); level != levels_.end() && level->first <= priority; ++level) {
            ahead += level->first < priority ? level->second.cost() : level->second.costAhead(account, weight);
        }
        return ahead;
    }

    /// Removes each queued request whose deadline has passed, and calls expired with it.
    template <typename Expired>
    void expire(MonotonicTime now, const Expired &expired)
    {
        for (auto &[priority, queue] : levels_) {
            queue.expire(now, expired);
        }
    }

private:
    std::map<int, FairQueue<Ticket>> levels_;
};

} // namespace cowsliphead
