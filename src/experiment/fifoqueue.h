#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "core/accountid.h"
#include "decide/admission/waitingrequest.h"

namespace cowsliphead
{

/// Requests that wait for capacity, in order of arrival. The baseline that FairQueue is compared with. Thread safety: owner task only.
template <typename Ticket>
class FifoQueue
{
public:
    void push(const AccountId &account, std::uint32_t /*weight*/, const WaitingRequest<Ticket> &waiting)
    {
        waiting_.emplace_back(account, waiting);
        cost_ += static_cast<double>(waiting.cost_);
    }

    /// Removes and returns the next request, or nothing if none waits.
    std::optional<WaitingRequest<Ticket>> pop()
    {
        if (waiting_.empty()) {
            return std::nullopt;
        }
        auto taken = waiting_.front().second;
        waiting_.pop_front();
        cost_ -= static_cast<double>(taken.cost_);
        return taken;
    }

    /// Removes each waiting request whose deadline has passed and passes it to the callback.
    /// Precondition: no request has an earlier deadline than one before it.
    template <typename Expired>
    void expire(MonotonicTime now, const Expired &expired)
    {
        while (!waiting_.empty() && waiting_.front().second.deadline_ <= now) {
            expired(*pop());
        }
    }

    std::size_t size() const
    {
        return waiting_.size();
    }

    /// Number of waiting requests of one account.
    std::size_t size(const AccountId &account) const
    {
        return static_cast<std::size_t>(std::count_if(waiting_.begin(), waiting_.end(), [&](const auto &candidate) { return candidate.first == account; }));
    }

    /// Always zero, since accounts have no queues of their own.
    double costOf(const AccountId & /*account*/, int /*priority*/) const
    {
        return 0;
    }

    /// The cost of all waiting requests, which are served before a new one.
    double costAhead(const AccountId & /*account*/, std::uint32_t /*weight*/, int /*priority*/) const
    {
        return cost_;
    }

private:
    std::deque<std::pair<AccountId, WaitingRequest<Ticket>>> waiting_;
    double cost_ = 0;
};

} // namespace cowsliphead
