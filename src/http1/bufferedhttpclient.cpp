#include "http1/bufferedhttpclient.h"

#include <utility>

#include "core/systemclock.h"
#include "http1/clientconnection.h"
#include "http1/messagewriter.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

namespace
{

constexpr std::chrono::milliseconds ConnectTimeout{ 400 };

/// Sixteen of the store's largest values.
constexpr std::size_t MaxAnswerBytes = 16U << 20U;

} // namespace

struct BufferedHttpClient::Call {
    std::shared_ptr<ClientConnection> connection_;
    std::unique_ptr<Timer> timeoutTimer_;
    std::string bytes_;
    BufferedAnswer answer_;
    Reply reply_;
    bool isFinished_ = false;
};

BufferedHttpClient::BufferedHttpClient(EventLoop &loop, SocketAddress address)
    : loop_(loop)
    , address_(std::move(address))
{
}

BufferedHttpClient::~BufferedHttpClient()
{
    *self_ = nullptr;
    for (const auto &connection : idle_) {
        connection->close();
    }
}

std::shared_ptr<ClientConnection> BufferedHttpClient::takeConnection()
{
    const auto now = SystemClock().now();
    while (!idle_.empty()) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (connection->isReusable(now)) {
            return connection;
        }
        connection->close();
    }
    return std::make_shared<ClientConnection>(loop_, address_);
}

void BufferedHttpClient::call(RequestHead head, const std::string &body, std::chrono::milliseconds timeout, Reply reply)
{
    head.headers_.emplace_back("Host", address_.host_ + ":" + std::to_string(address_.port_));
    head.headers_.emplace_back("Content-Length", std::to_string(body.size()));
    const auto call = std::make_shared<Call>();
    call->bytes_ = requestBytes(head) + body;
    call->reply_ = std::move(reply);
    call->connection_ = takeConnection();
    const auto end = [this, self = self_, call](const tl::expected<BufferedAnswer, ConnectionFailure> &answer) {
        if (*self != nullptr) {
            finish(call, answer);
        }
    };
    call->timeoutTimer_ = std::make_unique<Timer>(loop_, [end] { end(tl::make_unexpected(ConnectionFailure::TimedOut)); });
    call->timeoutTimer_->startOnce(timeout);
    call->connection_->begin({
                                 .onOpen_ = [call] { call->connection_->write(call->bytes_); },
                                 .onHead_ =
                                     [call](const ResponseHead &answer) {
                                         call->answer_.status_ = answer.status_;
                                         call->answer_.headers_ = answer.headers_;
                                         return AnswerHandling::Accept;
                                     },
                                 .onData_ =
                                     [call, end](std::string_view data) {
                                         if (call->answer_.body_.size() + data.size() > MaxAnswerBytes) {
                                             end(tl::make_unexpected(ConnectionFailure::TooLong));
                                         } else {
                                             call->answer_.body_.append(data);
                                         }
                                     },
                                 .onComplete_ = [call, end] { end(call->answer_); },
                                 .onFailed_ = [end](ConnectionFailure failure) { end(tl::make_unexpected(failure)); },
                             },
                             ConnectTimeout);
}

void BufferedHttpClient::finish(const std::shared_ptr<Call> &call, const tl::expected<BufferedAnswer, ConnectionFailure> &answer)
{
    if (std::exchange(call->isFinished_, true)) {
        return;
    }
    const auto connection = std::exchange(call->connection_, nullptr);
    if (answer && connection->isReusable(SystemClock().now())) {
        idle_.push_back(connection);
    } else {
        connection->close();
    }
    // The timer's callback holds the call, which holds the timer. Break the cycle here, but destroy the timer in a later iteration of
    // the loop, since this may run inside its callback.
    loop_.defer([timer = std::shared_ptr<Timer>(std::move(call->timeoutTimer_))] {});
    const auto reply = std::exchange(call->reply_, nullptr);
    reply(answer);
}

} // namespace cowsliphead
