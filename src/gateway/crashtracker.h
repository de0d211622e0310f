#pragma once

#include <chrono>
#include <optional>

#include "core/requestdigest.h"
#include "core/time.h"
#include "decide/crashcount.h"

namespace cowsliphead
{

class CrashRegister;
struct AdmittedRequest;
struct CallerRequest;
struct GatewayContext;
struct RequestMetadata;
struct SocketAddress;

/// Connects one request to the gateway's register of requests that crash endpoints. Thread safety: the context's task only.
class CrashTracker
{
public:
    /// Precondition: all arguments outlive the tracker; admitted is set before the first call of another member.
    CrashTracker(GatewayContext &context, const CallerRequest &request, const RequestMetadata &metadata, const AdmittedRequest &admitted);

    /// How much longer the request is not dispatched because it crashes endpoints; nothing if it may be dispatched.
    std::optional<std::chrono::milliseconds> quarantineLeft();

    /// The request is written to an endpoint.
    void dispatched();

    /// The endpoint at this address closed the connection with the request in hand. Precondition: dispatched() was called.
    void endpointClosed(const SocketAddress &endpoint);

    /// The endpoint answered the request. Precondition: dispatched() was called.
    void answered();

    /// The request's digest if it was needed so far, else an empty one.
    const RequestDigest &knownDigest() const
    {
        return digest_;
    }

private:
    const RequestDigest &digest();

    /// The request may have ended by then.
    static void endpointSurvived(GatewayContext &context, const RequestDigest &digest);
    static void takeBack(GatewayContext &context, const RequestDigest &digest, void (CrashRegister::*change)(const RequestDigest &, MonotonicTime));

    GatewayContext &context_;
    const CallerRequest &request_;
    const RequestMetadata &metadata_;
    const AdmittedRequest &admitted_;
    RequestDigest digest_;
    CrashCount countAtDispatch_;
};

} // namespace cowsliphead
