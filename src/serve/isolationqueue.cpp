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

void IsolationQueue::enqueue(std::uint64_t suspect, std::function<void()> onTurn)
{
    queue_.push_back({ suspect, std::move(onTurn) });
    if (queue_.size() == 1) {
        notifyFront();
    }
}

void IsolationQueue::reserve(const EndpointId &endpoint, bool isFree, std::function<void()> onFree)
{
    reserved_ = endpoint;
    queue_.front().callback_ = std::move(onFree);
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
    return !queue_.empty() && !reserved_.isEmpty() && reserved_ == endpoint;
}

void IsolationQueue::remove(std::uint64_t suspect)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(), [suspect](const Waiting &waiting) { return waiting.suspect_ == suspect; });
    if (found == queue_.end()) {
        return;
    }
    const bool wasFront = found == queue_.begin();
    queue_.erase(found);
    if (wasFront) {
        reserved_ = {};
        notifyFront();
    }
}

void IsolationQueue::notifyFront()
{
    if (queue_.empty()) {
        return;
    }
    loop_.defer([this, suspect = queue_.front().suspect_] {
        if (queue_.empty() || queue_.front().suspect_ != suspect) {
            return;
        }
        if (const auto onTurn = std::exchange(queue_.front().callback_, nullptr)) {
            onTurn();
        }
    });
}

} // namespace cowsliphead
