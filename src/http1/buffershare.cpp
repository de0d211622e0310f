#include "http1/buffershare.h"

#include <utility>

#include "http1/bufferbudget.h"
#include "task/eventloop.h"

namespace cowsliphead
{

namespace
{

/// To end a smaller buffer's owner frees too little to be worth it.
constexpr std::size_t SmallestRevoked = std::size_t(16) << 10U;

} // namespace

BufferShare::BufferShare(BufferBudget &budget, std::function<void()> onRevoked)
    : budget_(budget)
    , onRevoked_(onRevoked ? std::make_shared<std::function<void()>>(std::move(onRevoked)) : nullptr)
{
    budget_.add(*this);
}

BufferShare::~BufferShare()
{
    resize(0);
    budget_.remove(*this);
}

void BufferShare::resize(std::size_t bytes)
{
    const auto before = std::exchange(size_, bytes);
    if (isRevoked_) {
        budget_.revoked_ = budget_.revoked_ - before + bytes;
        isRevoked_ = bytes > 0;
    }
    if (bytes > before) {
        budget_.grew(bytes - before);
    } else {
        budget_.shrank(before - bytes);
    }
}

std::size_t BufferShare::size() const
{
    return size_;
}

std::size_t BufferShare::revocableSize() const
{
    return onRevoked_ && !isRevoked_ && size_ >= SmallestRevoked ? size_ : 0;
}

void BufferShare::revoke()
{
    isRevoked_ = true;
    budget_.revoked_ += size_;
    budget_.loop_.defer([weak = std::weak_ptr(onRevoked_)] {
        if (const auto onRevoked = weak.lock()) {
            (*onRevoked)();
        }
    });
}

} // namespace cowsliphead
