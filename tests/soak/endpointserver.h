#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "http1/callerconnection.h"
#include "http1/listener.h"
#include "task/eventloop.h"
#include "task/timer.h"

class SoakLedger;

/// A stand-in for an endpoint of a plain service. Runs each request for 20 ms and answers with a body that names the request and the endpoint.
class EndpointServer
{
public:
    EndpointServer(cowsliphead::EventLoop &loop, SoakLedger &ledger, std::string id);
    ~EndpointServer();
    EndpointServer(const EndpointServer &) = delete;
    EndpointServer &operator=(const EndpointServer &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    const std::string &id() const
    {
        return id_;
    }

    /// From now on the endpoint says of itself that it is this incarnation, when it is asked for its state.
    void setIncarnation(int incarnation)
    {
        incarnation_ = incarnation;
    }

    /// From now on a request that isDeadly holds for makes the endpoint crash while it runs it: onCrash is called, which has to cut all
    /// connections.
    void crashOn(std::function<bool(const cowsliphead::RequestHead &)> isDeadly, std::function<void()> onCrash);

private:
    struct Session {
        std::unique_ptr<cowsliphead::CallerConnection> connection_;
        std::unique_ptr<cowsliphead::Timer> runTimer_;
    };

    void accept(int socket);
    void startRequest(Session &session, const cowsliphead::CallerRequest &request);
    void answerRequest(Session &session, const std::string &request);

    cowsliphead::EventLoop &loop_;
    SoakLedger &ledger_;
    std::string id_;
    int incarnation_ = 1;
    std::function<bool(const cowsliphead::RequestHead &)> isDeadly_;
    std::function<void()> onCrash_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t lastSessionNumber_ = 0;
    int running_ = 0;
    cowsliphead::Listener listener_;
    std::uint16_t port_ = 0;
};
