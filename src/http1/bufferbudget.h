#pragma once

#include <cstddef>
#include <set>

namespace cowsliphead
{

class BufferShare;
class EventLoop;

/// Limits the bytes that all connections of a task buffer together. Beyond the limit it revokes the largest shares, until the rest fits.
/// Thread safety: the loop's task only.
class BufferBudget
{
public:
    /// limit: in bytes. Precondition: the loop outlives the budget.
    BufferBudget(EventLoop &loop, std::size_t limit);
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    /// Bytes in all shares.
    std::size_t used() const;

    std::size_t limit() const;

private:
    friend class BufferShare;

    void add(BufferShare &share);
    void remove(BufferShare &share);
    void grew(std::size_t bytes);
    void shrank(std::size_t bytes);
    void enforce();

    EventLoop &loop_;
    std::size_t limit_;
    std::size_t used_ = 0;

    /// Bytes in shares that were revoked and are about to be given back.
    std::size_t revoked_ = 0;
    std::set<BufferShare *> shares_;
};

} // namespace cowsliphead
