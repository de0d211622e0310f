#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "http1/buffershare.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace cowsliphead
{

class BufferBudget;

/// Counts what a caller's connection buffers: the body of its request, answers that it has not read, and bytes after its request.
/// Thread safety: the loop's task only.
class CallerBuffers
{
public:
    /// onBodyRevoked: the body that is being read is to be freed. onQueueRevoked: the unread answers and the bytes after the request are. Without a
    /// budget nothing is revoked. Precondition: the bufferevent and the budget outlive this.
    CallerBuffers(bufferevent *buffer, BufferBudget *budget, std::function<void()> onBodyRevoked, std::function<void()> onQueueRevoked);
    ~CallerBuffers();
    CallerBuffers(const CallerBuffers &) = delete;
    CallerBuffers &operator=(const CallerBuffers &) = delete;

    /// The body that is being read occupies this many bytes.
    void setBody(std::size_t bytes);

    /// The body is complete. It cannot be revoked any more.
    void bodyComplete();

    /// The request is answered.
    void requestAnswered();

    /// Bytes that were sent and that the caller's end has not taken.
    std::size_t unsentBytes() const;

private:
    static void onChanged(evbuffer *buffer, const evbuffer_cb_info *change, void *self);

    bufferevent *buffer_;
    std::optional<BufferShare> bodyShare_;
    std::optional<BufferShare> requestShare_;
    std::optional<BufferShare> queueShare_;
};

} // namespace cowsliphead
