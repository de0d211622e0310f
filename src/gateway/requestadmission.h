#pragma once

#include <chrono>
#include <optional>

#include "core/errorcode.h"
#include "core/servicename.h"
#include "core/time.h"
#include "decide/admission/admissiondecision.h"
#include "decide/admission/admissionfacts.h"
#include "gateway/admittedrequest.h"
#include "gateway/queueevents.h"
#include "gateway/servicequeue.h"

namespace cowsliphead
{

class RequestRouter;
struct Configuration;
struct GatewayContext;
struct RequestMetadata;
struct ServiceSpec;

/// Decides for one request, before each dispatch, whether it is sent, and counts and logs what was decided. Thread safety: the context's
/// task only unless a member states otherwise.
class RequestAdmission
{
public:
    /// Precondition: the arguments that are references outlive the object, and the route of admitted is set.
    RequestAdmission(
        GatewayContext &context, const RequestMetadata &metadata, const AdmittedRequest &admitted, const ServiceSpec &service, MonotonicTime arrivedAt);
    ~RequestAdmission();
    RequestAdmission(const RequestAdmission &) = delete;
    RequestAdmission &operator=(const RequestAdmission &) = delete;

    /// True if requests for the service are decided upon at all: with adaptive serving, those for plain services and for engines with a
    /// compact cache. Thread safety: may be called concurrently while nothing modifies the configuration.
    static bool appliesTo(const Configuration &configuration, const ServiceName &service);

    /// isPromptRead: an engine has read the prompt, so that work would be lost. mayHaveRun: an endpoint may have begun the request. events: used
    /// if the decision is to wait.
    AdmissionDecision decide(const RequestRouter &router, bool isPromptRead, bool mayHaveRun, QueueEvents events);

    /// A dispatch to an endpoint has ended, and with it the endpoint's use of a slot. responseTime: since it was written; absent for an answer
    /// that is streamed.
    void dispatchEnded(bool isAnswered, std::optional<std::chrono::nanoseconds> responseTime);

    /// The request waits no longer, if it does.
    void withdraw();

    /// The caller's patience is over, and the request is certain not to have run.
    void patienceEnded();

    /// Time from the request's arrival until it is withdrawn from an engine that has not begun it.
    std::chrono::milliseconds withdrawalTime() const;

    /// Why the request was refused. Precondition: decide() refused it, or patienceEnded() was called.
    ErrorCode reason() const;

    /// When the caller of a refused request should try again. Precondition: as for reason().
    std::chrono::milliseconds retryAfter() const;

private:
    AdmissionFacts currentFacts(bool mayHaveRun) const;
    AdmissionDecision queueOrSend(QueueEvents events);
    AccountId account() const;
    void sent();
    void waitEnded();
    void refused(ErrorCode reason);

    GatewayContext &context_;
    const RequestMetadata &metadata_;
    const AdmittedRequest &admitted_;
    ServiceName service_;
    bool isPlain_;
    MonotonicTime arrivedAt_;
    bool isSent_ = false;
    ServiceQueue::Ticket ticket_ = 0;

    /// As of the last decision.
    AdmissionFacts facts_;
    AdmissionDecision decision_;
    ErrorCode reason_ = ErrorCode::FirstEventTooLate;
};

} // namespace cowsliphead
