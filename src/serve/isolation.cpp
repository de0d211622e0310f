#include "serve/isolation.h"

#include <algorithm>
#include <utility>

#include "task/eventloop.h"

namespace cowsliphead
{

Isolation::Isolation(EventLoop &loop)
    : loop_(loop)
{
}

void Isolation::enter(std::uint64_t suspect, std::function<void()> onTurn)
{
    queue_.push_back({ suspect, std::move(onTurn) });
    if (queue_.size() == 1) {
        callFirst();
    }
}

void Isolation::reserve(const EndpointId &endpoint, bool isFree, std::function<void()> onFree)
{
    reserved_ = endpoint;
    queue_.front().onTurn_ = std::move(onFree);
    if (isFree) {
        callFirst();
    }
}

void Isolation::endpointIdle(const EndpointId &endpoint)
{
    if (isReserved(endpoint)) {
        callFirst();
    }
}

bool Isolation::isReserved(const EndpointId &endpoint) const
{
    return !queue_.empty() && !reserved_.isEmpty() && reserved_ == endpoint;
}

void Isolation::leave(std::uint64_t suspect)
{
    const auto found = std::find_if(queue_.begin(), queue_.end(), [suspect](const Waiting &waiting) { return waiting.suspect_ == suspect; });
    if (found == queue_.end()) {
        return;
    }
    const bool hadTurn = found == queue_.begin();
    queue_.erase(found);
    if (hadTurn) {
        reserved_ = {};
        callFirst();
    }
}

void Isolation::callFirst()
{
    if (queue_.empty()) {
        return;
    }
    loop_.defer([this, suspect = queue_.front().suspect_] {
        if (queue_.empty() || queue_.front().suspect_ != suspect) {
            return;
        }
        if (const auto onTurn = std::exchange(queue_.front().onTurn_, nullptr)) {
            onTurn();
        }
    });
}

} // namespace cowsliphead
