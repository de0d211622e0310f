#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/result.h"
#include "http/httpconnection.h"
#include "http/responseheadobserver.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace cowsliphead
{

class EventLoop;

/// One HTTP request whose last byte is held back until mayAct() confirms that the sender may still act. Owned by a shared pointer.
/// Thread safety: all members, on the loop's task only.
class HeldRequest : public std::enable_shared_from_this<HeldRequest>
{
public:
    using MayAct = std::function<bool()>;

    /// Called exactly once, in a later turn of the event loop than start().
    using Reply = std::function<void(Result<void>)>;

    /// Precondition: the loop outlives the request.
    HeldRequest(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HeldRequest();
    HeldRequest(const HeldRequest &) = delete;
    HeldRequest &operator=(const HeldRequest &) = delete;

    /// Sends the body in a POST request. Precondition: called once, and the body is not empty.
    void start(const std::string &path, const std::string &host, const std::string &body, MayAct mayAct, Reply reply);

private:
    static void onOutputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    static int onHeadRead(evhttp_request *request, void *self);
    static void onCompleted(evhttp_request *request, void *self);

    void holdLastByte(std::size_t length);
    void checkAuthority();
    void end(const Result<void> &result);

    EventLoop &loop_;
    HttpConnection connection_;
    ResponseHeadObserver head_;
    MayAct mayAct_;
    Reply reply_;
    bool isHeld_ = false;
    bool isReleased_ = false;
};

} // namespace cowsliphead
