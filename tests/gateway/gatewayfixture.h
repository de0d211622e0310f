#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "platform/platformdialect.h"
#include "rawendpoint.h"
#include "task/timer.h"

/// A gateway and endpoints on the loopback address, in one event loop.
class GatewayFixture
{
public:
    /// The response that the caller received.
    struct Answer {
        int status_ = 0;
        std::string body_;
        cowsliphead::HttpHeaders headers_;
        bool isComplete_ = false;

        /// Time from the request until the response had ended.
        std::chrono::milliseconds duration_{ 0 };
    };

    /// configurationAge: time since the configuration was last confirmed. stopGrace: time from the stop signal until the process is killed.
    /// hasConfiguration: false if the gateway has yet to read a configuration.
    explicit GatewayFixture(std::chrono::milliseconds configurationAge = std::chrono::milliseconds(0),
                            std::chrono::milliseconds stopGrace = std::chrono::milliseconds(8000),
                            bool hasConfiguration = true);

    /// Adds an endpoint of the only service. It answers requests with the scripts in order, and repeats the last one.
    RawEndpoint &addEndpoint(std::vector<RawEndpoint::Script> scripts);

    /// Adds an engine of the further service. Precondition: useAdaptiveServing() was called.
    RawEndpoint &addEngine(cowsliphead::EngineStage stage, std::vector<RawEndpoint::Script> scripts);

    /// Sends a request and waits until the response has ended.
    Answer sendRequest(const std::string &path,
                       cowsliphead::HttpHeaders headers = { { "X-Api-Key", "key-1" } },
                       const std::string &method = "GET",
                       const std::string &body = {});

    /// Sends a request, closes the connection after an endpoint has received it, and runs the loop for a short time.
    void sendRequestAndDisconnect(const std::string &path);

    /// Connects a caller that sends these bytes and reads nothing. Returns its socket, which the fixture closes at its end.
    int connectUnreadingCaller(const std::string &bytes);

    /// The bytes of a request that a caller sends.
    static std::string requestText(const std::string &path, const std::string &attemptId, const std::string &body = {});

    /// Publishes the list of endpoints once more, as it was.
    void publish();

    /// Removes all endpoints from the list.
    void publishNothing();

    /// Publishes a list of other endpoints, which nobody can reach.
    void publishOthers(int count);

    /// From now on the list names new incarnations of all endpoints.
    void restartEndpoints();

    /// The endpoints have started again, which the list will say as it is published next.
    void restartEndpointsUnlisted();

    /// From now on the configuration has a further service, whose engines have a compact KV cache, and a route to it.
    void useAdaptiveServing();

    /// From now on the configuration has these limits. The gateway has read it then.
    void setCallerLimits(const cowsliphead::CallerConnectionLimits &limits);

    /// What the gateway tells the others.
    cowsliphead::LocalLoad localLoad();

    /// The key of the listed start of an endpoint. number: the endpoint's, in the order in which they were added.
    cowsliphead::EndpointKey reportKeyOf(std::size_t number) const;

    /// Tells the gateway that the first endpoint has yet to read these tokens for the others.
    void reportPromptTokens(std::uint64_t tokens);

    /// The same for the start with this key.
    void reportPromptTokens(cowsliphead::EndpointKey start, std::uint64_t tokens);

    /// Tells the gateway what the others have seen of the first endpoint.
    void reportFailure(cowsliphead::EndpointFailureKind kind, std::uint32_t gateways);

    /// Tells the gateway that others saw the first three endpoints crash this long ago, one after the other, under requests with a part.
    void reportCrashes(const std::string &part, std::chrono::milliseconds age);

    /// Leaves the gateway a single retry, whatever arrives.
    void limitRetries();

    /// Lets the relay grant the gateway a retry after this time.
    void grantRetryAfter(std::chrono::milliseconds time);

    /// After this time, a report says that the other gateways have so many requests in flight at each endpoint.
    void reportLoadOfOthers(std::uint32_t running, std::chrono::milliseconds after = std::chrono::milliseconds(0));

    void run(std::chrono::milliseconds time);

    /// Starts the drain and runs the loop for this time.
    void drainFor(std::chrono::milliseconds time);

    ~GatewayFixture();
    GatewayFixture(const GatewayFixture &) = delete;
    GatewayFixture &operator=(const GatewayFixture &) = delete;

    int startedRequests_ = 0;
    std::vector<cowsliphead::Span> spans_;

private:
    using Gateway = cowsliphead::Gateway<cowsliphead::PlatformDialect>;

    static cowsliphead::GatewaySettings settings(std::chrono::milliseconds stopGrace);
    static std::shared_ptr<cowsliphead::Configuration> configuration();

    cowsliphead::EventLoop loop_;
    std::shared_ptr<cowsliphead::Configuration> configuration_;
    bool hasConfiguration_;
    std::vector<std::unique_ptr<RawEndpoint>> endpoints_;

    /// The stages of the endpoints that are engines, by their index.
    std::map<std::size_t, cowsliphead::EngineStage> stages_;
    Gateway gateway_;
    std::uint16_t port_ = 0;
    int requestCount_ = 0;
    std::vector<int> sockets_;
    std::uint64_t incarnation_ = 1;
    std::unique_ptr<cowsliphead::Timer> grant_;
    std::vector<std::unique_ptr<cowsliphead::Timer>> reports_;
};
