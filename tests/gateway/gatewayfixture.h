#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "platform/platformdialect.h"
#include "rawendpoint.h"
#include "task/timer.h"

/// A gateway with endpoints on the loopback address, in one loop.
class GatewayFixture
{
public:
    /// What a caller saw.
    struct Answer {
        int status_ = 0;
        std::string body_;
        cowsliphead::HttpHeaders headers_;
        bool isWhole_ = false;
    };

    /// The gateway has confirmed its configuration that long ago; stopGrace is the time between the order to stop and its end.
    explicit GatewayFixture(std::chrono::milliseconds configurationAge = std::chrono::milliseconds(0),
                            std::chrono::milliseconds stopGrace = std::chrono::milliseconds(8000));

    /// An endpoint of the plain service, which answers by the scripts in turn, the last one again and again.
    RawEndpoint &addEndpoint(std::vector<RawEndpoint::Script> scripts);

    /// Sends a request and waits for the end of its answer.
    Answer sendRequest(const std::string &path, cowsliphead::HttpHeaders headers = { { "X-Api-Key", "key-1" } }, const std::string &method = "GET");

    /// Sends a request, closes the connection once an endpoint has it, and runs on for a short time.
    void sendRequestAndDisconnect(const std::string &path);

    /// Orders the gateway to stop, and runs on for that long.
    void drainFor(std::chrono::milliseconds time);

    int startedRequests_ = 0;
    std::vector<cowsliphead::Span> spans_;

private:
    using Gateway = cowsliphead::Gateway<cowsliphead::PlatformDialect>;

    static cowsliphead::GatewaySettings settings(std::chrono::milliseconds stopGrace);
    static std::shared_ptr<cowsliphead::Configuration> configuration();
    void publish();
    void runFor(std::chrono::milliseconds time);

    cowsliphead::EventLoop loop_;
    std::shared_ptr<cowsliphead::Configuration> configuration_;
    std::vector<std::unique_ptr<RawEndpoint>> endpoints_;
    Gateway gateway_;
    std::uint16_t port_ = 0;
    int requestCount_ = 0;
};
