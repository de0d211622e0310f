#include "task/wakeup.h"

#include <cstdint>

#include <event2/event.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "task/eventloop.h"

namespace cowsliphead
{

Wakeup::Wakeup()
    : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
}

Wakeup::~Wakeup()
{
    event_.reset();
    close(descriptor_);
}

void Wakeup::attach(EventLoop &loop, std::function<void()> callback)
{
    callback_ = std::move(callback);
    event_.reset(event_new(loop.base(), descriptor_, EV_READ | EV_PERSIST, &Wakeup::onReadable, this));
    event_add(event_.get(), nullptr);
}

void Wakeup::detach()
{
    event_.reset();
}

void Wakeup::signal()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(descriptor_, &one, sizeof(one));
}

void Wakeup::onReadable(int descriptor, short /*what*/, void *self)
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto consumed = read(descriptor, &count, sizeof(count));
    static_cast<Wakeup *>(self)->callback_();
}

void Wakeup::FreeEvent::operator()(event *readEvent) const
{
    event_free(readEvent);
}

} // namespace cowsliphead
