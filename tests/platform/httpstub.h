#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http1/callerconnection.h"
#include "http1/listener.h"
#include "http1/socketaddress.h"
#include "task/eventloop.h"

/// An HTTP server that answers each call with the result of a handler that the test provides.
class HttpStub
{
public:
    struct Answer {
        int status_ = 200;
        std::string body_;
        cowsliphead::HttpHeaders headers_{};
    };

    /// Returns the answer, or nothing to leave the call unanswered.
    using Handler = std::function<std::optional<Answer>(const cowsliphead::CallerRequest &)>;

    HttpStub(cowsliphead::EventLoop &loop, Handler handler);
    HttpStub(const HttpStub &) = delete;
    HttpStub &operator=(const HttpStub &) = delete;

    cowsliphead::SocketAddress address() const
    {
        return { "127.0.0.1", port_ };
    }

private:
    void accept(int socket);

    cowsliphead::EventLoop &loop_;
    Handler handler_;
    std::map<int, std::unique_ptr<cowsliphead::CallerConnection>> connections_;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
    int accepted_ = 0;
};
