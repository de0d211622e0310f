#pragma once

#include <functional>
#include <utility>

namespace cowsliphead
{

/// A destination for messages of one type. The sender does not depend on the type of the receiving task.
template <typename Message>
class Address
{
public:
    Address() = default;

    /// deliver passes a message to the receiver. Precondition: deliver may be called from any thread. Thread safety: as any value type.
    explicit Address(std::function<void(Message)> deliver)
        : deliver_(std::move(deliver))
    {
    }

    /// Sends a message. A default-constructed address drops it. Thread safety: any thread.
    void send(Message message) const
    {
        if (deliver_) {
            deliver_(std::move(message));
        }
    }

private:
    std::function<void(Message)> deliver_;
};

} // namespace cowsliphead
