#include "duty/heldrequest.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "core/errorcode.h"
#include "http/connectionend.h"
#include "http/delimitedbody.h"
#include "http/httpstatus.h"
#include "http/readresponsehead.h"
#include "task/eventloop.h"

namespace cowsliphead
{

HeldRequest::HeldRequest(EventLoop &loop, const std::string &host, std::uint16_t port, std::chrono::milliseconds timeout)
    : loop_(loop)
    , connection_(loop, host, port, timeout)
    , head_(evhttp_connection_get_bufferevent(connection_.handle()))
{
}

HeldRequest::~HeldRequest()
{
    evbuffer_remove_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(connection_.handle())), &HeldRequest::onOutputChanged, this);
}

void HeldRequest::start(const std::string &path, const std::string &host, const std::string &body, MayAct mayAct, Reply reply)
{
    mayAct_ = std::move(mayAct);
    reply_ = std::move(reply);
    evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(connection_.handle())), &HeldRequest::onOutputChanged, this);
    auto *request = evhttp_request_new(&HeldRequest::onCompleted, this);
    evhttp_request_set_header_cb(request, &HeldRequest::onHeadRead);
    auto *fields = evhttp_request_get_output_headers(request);
    evhttp_add_header(fields, "Host", host.c_str());
    evhttp_add_header(fields, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    if (evhttp_make_request(connection_.handle(), request, EVHTTP_REQ_POST, path.c_str()) != 0) {
        end(failure(ErrorCode::EndpointLost));
    }
}

void HeldRequest::onOutputChanged(evbuffer *buffer, const evbuffer_cb_info *info, void *self)
{
    auto *request = static_cast<HeldRequest *>(self);
    const auto length = evbuffer_get_length(buffer);
    if (request->isReleased_ || request->isHeld_) {
        return;
    }
    if (length > 1) {
        request->holdLastByte(length);
    } else if (length == 1 && info->n_deleted > 0) {
        request->isHeld_ = true;
        bufferevent_disable(evhttp_connection_get_bufferevent(request->connection_.handle()), EV_WRITE);
        request->loop_.defer([held = request->weak_from_this()] {
            if (const auto live = held.lock()) {
                live->checkAuthority();
            }
        });
    }
}

void HeldRequest::holdLastByte(std::size_t length)
{
    bufferevent_set_max_single_write(evhttp_connection_get_bufferevent(connection_.handle()), length - 1);
}

void HeldRequest::checkAuthority()
{
    if (!reply_) {
        return;
    }
    if (!mayAct_()) {
        end(failure(ErrorCode::OrderWithheld));
        return;
    }
    isReleased_ = true;
    auto *connection = evhttp_connection_get_bufferevent(connection_.handle());
    bufferevent_set_max_single_write(connection, 0);
    bufferevent_enable(connection, EV_WRITE);
}

int HeldRequest::onHeadRead(evhttp_request *request, void *self)
{
    if (!static_cast<HeldRequest *>(self)->head_.isValid() || !readResponseHead(request)) {
        // Fails the request.
        return -1;
    }
    // With this field libevent would close the socket before onCompleted(), which reads from it how the connection ended.
    evhttp_remove_header(evhttp_request_get_input_headers(request), "Connection");
    return 0;
}

void HeldRequest::onCompleted(evhttp_request *request, void *self)
{
    auto *held = static_cast<HeldRequest *>(self);
    const bool isComplete = request != nullptr && evhttp_request_get_response_code(request) != 0
        && (hasDelimitedBody(request) || hasEndedInOrder(evhttp_connection_get_bufferevent(held->connection_.handle())));
    const int status = isComplete ? evhttp_request_get_response_code(request) : 0;
    if (status == httpstatus::Ok) {
        held->end({});
    } else if (status == httpstatus::Conflict) {
        held->end(failure(ErrorCode::EndpointRefused));
    } else {
        held->end(failure(ErrorCode::EndpointLost));
    }
}

void HeldRequest::end(const Result<void> &result)
{
    if (auto reply = std::exchange(reply_, nullptr)) {
        // Deferred, because libevent still uses the connection here and the owner frees it in the reply.
        loop_.defer([reply = std::move(reply), result] { reply(result); });
    }
}

} // namespace cowsliphead
