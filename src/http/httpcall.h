#pragma once

#include <functional>
#include <memory>

#include "http/httpcallevents.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace cowsliphead
{

class EventLoop;
class HttpConnection;
struct HttpRequest;

/// One request to a server and its answer, on a connection of its own while it lasts. It lives until it has ended or was cancelled.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    /// Hands the connection back once the call needs it no more; null if it must not be used again.
    using ReturnConnection = std::function<void(std::unique_ptr<HttpConnection>)>;

    /// Precondition: the connection carries no other call. Thread safety: the connection's task only.
    HttpCall(EventLoop &loop, std::unique_ptr<HttpConnection> connection, HttpCallEvents events, ReturnConnection returnConnection);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// Sends the request. Precondition: called once. Thread safety: the connection's task only.
    void start(const HttpRequest &request);

    /// Closes the connection; no event follows. May be called from within an event. Thread safety: the connection's task only.
    void cancel();

    /// False only if it is certain that no byte of the request left this process. Thread safety: the connection's task only.
    bool mayHaveBeenSent() const;

    /// True if the connection carried no call before this one. Thread safety: the connection's task only.
    bool isOnFreshConnection() const;

private:
    static int onHeadRead(evhttp_request *request, void *self);
    static void onChunkRead(evhttp_request *request, void *self);
    static void onCompleted(evhttp_request *request, void *self);
    static void onFailed(int error, void *self);
    static void onOutputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *self);

    void end(evhttp_request *request);
    void abandon();
    void watchOutput();
    void unwatchOutput();
    bool isCertainlyWhole(evhttp_request *request) const;
    bool mayBeReused(evhttp_request *request) const;

    EventLoop &loop_;
    std::unique_ptr<HttpConnection> connection_;
    HttpCallEvents events_;
    ReturnConnection returnConnection_;
    evhttp_request *request_ = nullptr;

    /// Keeps the call alive for as long as libevent may call back.
    std::shared_ptr<HttpCall> self_;
    std::error_code error_;
    bool isOnFreshConnection_;
    bool mayHaveBeenSent_ = false;
    bool headSeen_ = false;
};

} // namespace cowsliphead
