#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "http/httpcallevents.h"
#include "http/responseheadobserver.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace cowsliphead
{

class EventLoop;
class HttpConnection;
struct HttpRequest;

/// Sends one request to a server and reads its answer, using a connection exclusively until the call ends.
/// The object stays alive until the call has ended or was cancelled. Thread safety: the connection's task only.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    /// Receives the connection after a call that left it reusable. Not called otherwise.
    using ReturnConnection = std::function<void(std::unique_ptr<HttpConnection>)>;

    /// Precondition: the connection carries no other call.
    HttpCall(EventLoop &loop, std::unique_ptr<HttpConnection> connection, HttpCallEvents events, ReturnConnection returnConnection);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// Sends the request. Precondition: called once.
    void start(const HttpRequest &request);

    /// Closes the connection in a later iteration of the loop; no callback follows. May be called from within a callback.
    void cancel();

    /// False only if it is certain that no byte of the request left this process.
    bool mayHaveBeenSent() const;

    /// True if the connection carried no call before this one.
    bool isOnFreshConnection() const;

private:
    static int onHeadRead(evhttp_request *request, void *self);
    static void onChunkRead(evhttp_request *request, void *self);
    static void onCompleted(evhttp_request *request, void *self);
    static void onRequestError(int error, void *self);
    static void onOutputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *self);

    void end(evhttp_request *request);
    void closeConnection();
    void beginObserving();
    void endObserving();
    bool isConnectionReusable() const;

    EventLoop &loop_;
    std::unique_ptr<HttpConnection> connection_;
    HttpCallEvents events_;
    ReturnConnection returnConnection_;
    evhttp_request *request_ = nullptr;
    std::optional<ResponseHeadObserver> head_;

    /// Keeps the call alive while libevent callbacks may still refer to it.
    std::shared_ptr<HttpCall> self_;
    std::error_code error_;
    bool isOnFreshConnection_;
    bool mayHaveBeenSent_ = false;
    bool isHeadRead_ = false;

    /// The server closes the connection after this answer.
    bool isLastOnConnection_ = false;
};

} // namespace cowsliphead
