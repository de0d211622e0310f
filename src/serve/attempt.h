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

/// One sending of a request to one endpoint. Watches its progress, and takes no answer but the one to this very attempt.
class Attempt
{
public:
    /// Precondition: the context outlives the attempt, unless that is closed. Thread safety: the serving task only.
    Attempt(ServingContext &context, const EndpointRecord &endpoint, std::string id);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    /// Sends the request. Precondition: called once, with the same endpoint. Thread safety: the serving task only.
    void start(const EndpointRecord &endpoint, const HttpRequest &request, const AttemptPlan &plan, AttemptEvents events);

    /// Ends the endpoint's work on it, if there is any left; no event follows. May be called from within an event.
    /// Thread safety: the serving task only.
    void close();

    /// False only if it is certain that no byte of the request left this process. Thread safety: the serving task only.
    bool mayHaveBeenSent() const;

    /// Thread safety: the serving task only.
    const EndpointId &endpoint() const;

private:
    void onHead(const HttpResponseHead &head);
    void onData(std::string_view data);
    void onEnd(const tl::expected<void, HttpCallFailure> &end);
    void onSilence();
    void onLost(const HttpCallFailure &failure);
    void fail(const struct AttemptFailure &failure);
    void noteLoad(const HttpResponseHead &head);

    ServingContext &context_;
    EndpointId endpoint_;
    std::string id_;
    bool isEngine_;
    std::chrono::milliseconds silenceTimeout_{ 0 };
    AttemptEvents events_;
    std::shared_ptr<HttpCall> call_;
    Timer silence_;
};

} // namespace cowsliphead
