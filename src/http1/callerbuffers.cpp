#include "http1/callerbuffers.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace cowsliphead
{

CallerBuffers::CallerBuffers(bufferevent *buffer, BufferBudget *budget, std::function<void()> onBodyRevoked, std::function<void()> onQueueRevoked)
    : buffer_(buffer)
{
    if (budget == nullptr) {
        return;
    }
    bodyShare_.emplace(*budget, std::move(onBodyRevoked));
    requestShare_.emplace(*budget);
    queueShare_.emplace(*budget, std::move(onQueueRevoked));
    evbuffer_add_cb(bufferevent_get_input(buffer_), &CallerBuffers::onChanged, this);
    evbuffer_add_cb(bufferevent_get_output(buffer_), &CallerBuffers::onChanged, this);
}

CallerBuffers::~CallerBuffers()
{
    if (queueShare_) {
        evbuffer_remove_cb(bufferevent_get_input(buffer_), &CallerBuffers::onChanged, this);
        evbuffer_remove_cb(bufferevent_get_output(buffer_), &CallerBuffers::onChanged, this);
    }
}

void CallerBuffers::setBody(std::size_t bytes)
{
    if (bodyShare_) {
        bodyShare_->resize(bytes);
    }
}

void CallerBuffers::bodyComplete()
{
    if (bodyShare_) {
        requestShare_->resize(bodyShare_->size());
        bodyShare_->resize(0);
    }
}

void CallerBuffers::requestAnswered()
{
    if (requestShare_) {
        requestShare_->resize(0);
    }
}

std::size_t CallerBuffers::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(buffer_));
}

void CallerBuffers::onChanged(evbuffer * /*buffer*/, const evbuffer_cb_info * /*change*/, void *self)
{
    auto &buffers = *static_cast<CallerBuffers *>(self);
    buffers.queueShare_->resize(buffers.unsentBytes() + evbuffer_get_length(bufferevent_get_input(buffers.buffer_)));
}

} // namespace cowsliphead
