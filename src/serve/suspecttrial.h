#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/endpointid.h"
#include "core/requestdigest.h"
#include "core/time.h"
#include "decide/quarantinestatus.h"
#include "task/timer.h"

namespace cowsliphead
{

struct HttpRequest;
struct ServingContext;

/// Judges one request by the crashes around it, and gets a suspect an endpoint for itself.
class SuspectTrial
{
public:
    /// Precondition: context and request outlive the trial. Thread safety: the serving task only.
    SuspectTrial(ServingContext &context, const HttpRequest &request, std::uint64_t sequence);
    ~SuspectTrial();
    SuspectTrial(const SuspectTrial &) = delete;
    SuspectTrial &operator=(const SuspectTrial &) = delete;

    /// Thread safety: the serving task only.
    QuarantineStatus quarantineStatus();

    /// Waits for the turn among this daemon's suspects; one of the two is called in a later turn of the loop.
    /// Thread safety: the serving task only.
    void begin(MonotonicTime deadline, std::function<void()> onTurn, std::function<void()> onDeadline);

    /// Waits until the endpoint has no other request; the deadline still holds. Precondition: onTurn was called.
    /// Thread safety: the serving task only.
    void reserve(const EndpointId &endpoint, std::function<void()> onAlone);

    /// The trial is over, or there was none. Thread safety: the serving task only.
    void end();

    /// The endpoint crashed with the request in flight. Precondition: before end(). Thread safety: the serving task only.
    void noteCrash(const EndpointId &endpoint);

    /// The request has a whole answer. Thread safety: the serving task only.
    void noteAnswered();

private:
    const RequestDigest &digest();

    ServingContext &context_;
    const HttpRequest &request_;
    std::uint64_t sequence_;
    std::optional<RequestDigest> digest_;
    bool isAlone_ = false;
    std::function<void()> onDeadline_;
    Timer deadline_;
};

} // namespace cowsliphead
