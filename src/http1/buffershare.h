#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace cowsliphead
{

class BufferBudget;

/// The bytes that one owner buffers, as a part of a budget; given back by the destructor. Thread safety: the budget's task only.
class BufferShare
{
public:
    /// onRevoked is called in a later iteration of the loop than the call that exceeded the budget; the owner then frees its buffer. A share
    /// without it, or of less than 16 KiB, is never revoked. Precondition: the budget outlives the share.
    explicit BufferShare(BufferBudget &budget, std::function<void()> onRevoked = nullptr);
    ~BufferShare();
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;

    /// Sets the number of bytes that the owner buffers.
    void resize(std::size_t bytes);

    std::size_t size() const;

private:
    friend class BufferBudget;

    /// Zero if the share cannot be revoked, was revoked before or is small.
    std::size_t revocableSize() const;
    void revoke();

    BufferBudget &budget_;
    std::size_t size_ = 0;
    bool isRevoked_ = false;

    /// Shared with the deferred call, which may come after the share's end.
    std::shared_ptr<std::function<void()>> onRevoked_;
};

} // namespace cowsliphead
