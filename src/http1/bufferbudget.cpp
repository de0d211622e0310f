#include "http1/bufferbudget.h"

#include <algorithm>

#include "http1/buffershare.h"
#include "logs/log.h"
#include "task/eventloop.h"

namespace cowsliphead
{

BufferBudget::BufferBudget(EventLoop &loop, std::size_t limit)
    : loop_(loop)
    , limit_(limit)
{
}

std::size_t BufferBudget::used() const
{
    return used_;
}

std::size_t BufferBudget::limit() const
{
    return limit_;
}

void BufferBudget::add(BufferShare &share)
{
    shares_.insert(&share);
}

void BufferBudget::remove(BufferShare &share)
{
    shares_.erase(&share);
}

void BufferBudget::grew(std::size_t bytes)
{
    used_ += bytes;
    enforce();
}

void BufferBudget::shrank(std::size_t bytes)
{
    used_ -= bytes;
}

void BufferBudget::enforce()
{
    while (used_ - revoked_ > limit_) {
        const auto largest = std::max_element(
            shares_.begin(), shares_.end(), [](const BufferShare *left, const BufferShare *right) { return left->revocableSize() < right->revocableSize(); });
        if (largest == shares_.end() || (*largest)->revocableSize() == 0) {
            return;
        }
        logEvent(LogEvent::BufferRevoked, { { "bytes", (*largest)->size() }, { "used", used_ }, { "limit", limit_ } });
        (*largest)->revoke();
    }
}

} // namespace cowsliphead
