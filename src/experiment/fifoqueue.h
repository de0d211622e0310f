#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "core/accountid.h"
#include "decide/admission/waiting.h"

namespace cowsliphead
{

/// Requests that wait for capacity, taken out in the order of their arrival: the order to compare FairQueue with.
template <typename Ticket>
class FifoQueue
{
public:
    /// Thread safety: owner task only.
    void push(const AccountId &account, std::uint32_t /*weight*/, const Waiting<Ticket> &waiting)
    {
        waiting_.emplace_back(account, waiting);
        cost_ += static_cast<double>(waiting.cost_);
    }

    /// The next request, or nothing if none waits. Thread safety: owner task only.
    std::optional<Waiting<Ticket>> pop()
    {
        if (waiting_.empty()) {
            return std::nullopt;
        }
        auto taken = waiting_.front().second;
        waiting_.pop_front();
        cost_ -= static_cast<double>(taken.cost_);
        return taken;
    }

    /// Calls back with each waiting request whose deadline has passed, and takes it out. Thread safety: owner task only.
    template <typename Expired>
    void expire(MonotonicTime now, const Expired &expired)
    {
        while (!waiting_.empty() && waiting_.front().second.deadline_ <= now) {
            expired(*pop());
        }
    }

    /// Thread safety: owner task only.
    std::size_t size() const
    {
        return waiting_.size();
    }

    /// Requests of one account that wait. Thread safety: owner task only.
    std::size_t size(const AccountId &account) const
    {
        return static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(), [&](const auto &candidate) { return candidate.first == account; }));
    }

    /// In this order an account has no backlog of its own. Thread safety: owner task only.
    double costOf(const AccountId & /*account*/) const
    {
        return 0;
    }

    /// The cost that is served before a new request. Thread safety: owner task only.
    double costAhead(const AccountId & /*account*/, std::uint32_t /*weight*/) const
    {
        return cost_;
    }

private:
    std::deque<std::pair<AccountId, Waiting<Ticket>>> waiting_;
    double cost_ = 0;
};

} // namespace cowsliphead
