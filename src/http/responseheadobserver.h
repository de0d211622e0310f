#pragma once

#include <cstddef>

#include "http/responseheadcheck.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace cowsliphead
{

/// Checks the head of a response as its bytes arrive on a connection that libevent reads. Thread safety: the connection's task only.
class ResponseHeadObserver
{
public:
    /// Begins with the next byte that arrives. Precondition: the connection outlives the observer, or release() is called before it ends.
    explicit ResponseHeadObserver(bufferevent *connection);
    ~ResponseHeadObserver();
    ResponseHeadObserver(const ResponseHeadObserver &) = delete;
    ResponseHeadObserver &operator=(const ResponseHeadObserver &) = delete;

    /// Stops observing.
    void release();

    /// False once a head, be it that of an interim response, is invalid.
    bool isValid() const
    {
        return check_.isValid();
    }

private:
    static void onInputChanged(evbuffer *input, const evbuffer_cb_info *info, void *self);

    void add(evbuffer *input, std::size_t count);

    bufferevent *connection_;
    ResponseHeadCheck check_;
};

} // namespace cowsliphead
