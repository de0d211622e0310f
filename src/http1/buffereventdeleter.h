#pragma once

struct bufferevent;

namespace cowsliphead
{

/// Frees a bufferevent, closing its socket.
struct BufferEventDeleter {
    void operator()(bufferevent *events) const;
};

} // namespace cowsliphead
