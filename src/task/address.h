#pragma once

#include <functional>
#include <utility>

namespace cowsliphead
{

/// Where messages of one type can be sent, whichever task receives them.
template <typename Message>
class Address
{
public:
    Address() = default;

    /// Precondition: deliver may be called from any thread. Thread safety: as any value type.
    explicit Address(std::function<void(Message)> deliver)
        : deliver_(std::move(deliver))
    {
    }

    /// Sends a message; without a receiver it is dropped. Thread safety: any thread.
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
