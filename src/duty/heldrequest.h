#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/result.h"
#include "http/httpconnection.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace cowsliphead
{

class EventLoop;

/// One request whose last byte stays back until its sender's authority is checked. Held by a shared pointer.
class HeldRequest : public std::enable_shared_from_this<HeldRequest>
{
public:
    using MayAct = std::function<bool()>;

    /// Called once, in a later turn than start().
    using Reply = std::function<void(Result<void>)>;

    /// Precondition: the loop outlives the request. Thread safety: the loop's task only.
    HeldRequest(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout);
    ~HeldRequest();
    HeldRequest(const HeldRequest &) = delete;
    HeldRequest &operator=(const HeldRequest &) = delete;

    /// Posts the body. Precondition: called once, and the body is not empty. Thread safety: the loop's task only.
    void start(const std::string &path, const std::string &host, const std::string &body, MayAct mayAct, Reply reply);

private:
    static void onOutputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *self);
    static void onCompleted(evhttp_request *request, void *self);

    void holdBack(std::size_t length);
    void decide();
    void end(const Result<void> &result);

    EventLoop &loop_;
    HttpConnection connection_;
    MayAct mayAct_;
    Reply reply_;
    bool isHeld_ = false;
    bool isDecided_ = false;
};

} // namespace cowsliphead
