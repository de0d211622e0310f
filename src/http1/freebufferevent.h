#pragma once

struct bufferevent;

namespace cowsliphead
{

/// Frees a bufferevent, closing its socket.
struct FreeBufferEvent {
    void operator()(bufferevent *events) const;
};

} // namespace cowsliphead
