#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "core/endpointid.h"
#include "http/httpcallfailure.h"
#include "serve/attemptevents.h"
#include "task/timer.h"

namespace cowsliphead
{

class HttpCall;
struct AttemptPlan;
struct EndpointRecord;
struct HttpRequest;
struct HttpResponseHead;
struct ServingContext;

/// Sends a request to one endpoint once. Enforces the progress timeouts, and rejects an answer whose request identifier is not the attempt's own.
/// Thread safety: call only from the serving task.
class Attempt
{
public:
    /// Precondition: the context outlives the attempt, unless the attempt is closed first.
    Attempt(ServingContext &context, const EndpointRecord &endpoint, std::string id);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// Sends the request. Precondition: called once, with the endpoint given to the constructor.
    void start(const EndpointRecord &endpoint, const HttpRequest &request, const AttemptPlan &plan, AttemptEvents events);

    /// Cancels the call if it is still in progress; no callback follows. May be called from within a callback.
    void close();

    /// False only if it is certain that no byte of the request left this process.
    bool mayHaveBeenSent() const;

    const EndpointId &endpoint() const;

private:
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onEnd(const tl::expected<void, HttpCallFailure> &end);
    void onProgressTimeout();
    void onLost(const HttpCallFailure &failure);
    void fail(const struct AttemptFailure &failure);
    void recordLoadFromHead(const HttpResponseHead &head);

    ServingContext &context_;
    EndpointId endpoint_;
    std::string id_;
    bool isEngine_;
    std::chrono::milliseconds silenceTimeout_{ 0 };
    AttemptEvents events_;
    std::shared_ptr<HttpCall> call_;
    Timer progressTimer_;
};

} // namespace cowsliphead
