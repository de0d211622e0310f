#pragma once

struct bufferevent;

namespace cowsliphead
{

/// Deleter that frees a bufferevent and closes its socket.
struct BufferEventDeleter {
    void operator()(bufferevent *bufferEvent) const;
};

} // namespace cowsliphead
