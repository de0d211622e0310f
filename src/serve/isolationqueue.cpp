#include "serve/isolationqueue.h"

#include <algorithm>
#include <utility>

#include "task/eventloop.h"

namespace cowsliphead
{

IsolationQueue::IsolationQueue(EventLoop &loop)
    : loop_(loop)
{
}

void IsolationQueue::enqueue(std::uint64_t sequence, std::function<void()> onTurn)
{
    queue_.push_back({ sequence, std::move(onTurn) });
    if (queue_.size() == 1) {
        notifyFront();
    }
}

void IsolationQueue::reserveEndpoint(const EndpointId &endpoint, bool isFree, std::function<void()> onEndpointFree)
{
    reservedEndpoint_ = endpoint;
    queue_.front().callback_ = std::move(onEndpointFree);
    if (isFree) {
        notifyFront();
    }
}

void IsolationQueue::onEndpointIdle(const EndpointId &endpoint)
{
    if (isReserved(endpoint)) {
        notifyFront();
    }
}

bool IsolationQueue::isReserved(const EndpointId &endpoint) const
{
    return !queue_.empty() && !reservedEndpoint_.isEmpty() && reservedEndpoint_ == endpoint;
}

void IsolationQueue::remove(std::uint64_t sequence)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(), [sequence](const QueuedRequest &request) { return request.sequence_ == sequence; });
    if (found == queue_.end()) {
        return;
    }
    const bool wasFront = found == queue_.begin();
    queue_.erase(found);
    if (wasFront) {
        reservedEndpoint_ = {};
        notifyFront();
    }
}

void IsolationQueue::notifyFront()
{
    if (queue_.empty()) {
        return;
    }
    loop_.defer([this, sequence = queue_.front().sequence_] {
        if (queue_.empty() || queue_.front().sequence_ != sequence) {
            return;
        }
        if (const auto onTurn = std::exchange(queue_.front().callback_, nullptr)) {
            onTurn();
        }
    });
}

} // namespace cowsliphead
