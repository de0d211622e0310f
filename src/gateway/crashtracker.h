#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "core/requestdigest.h"
#include "core/time.h"
#include "decide/crashsuspects.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

struct AdmittedRequest;
struct CallerRequest;
struct EndpointEntry;
struct GatewayContext;
struct RequestMetadata;

/// Connects one request to the gateway's register of what crashes endpoints. Thread safety: the context's task only.
class CrashTracker
{
public:
    /// Precondition: all arguments outlive the tracker; metadata and admitted are set before the first call of another member.
    CrashTracker(GatewayContext &context, const CallerRequest &request, const RequestMetadata &metadata, const AdmittedRequest &admitted);

    /// How much longer the request is not dispatched because it, or a part of its prompt, crashes endpoints; nothing if it may be
    /// dispatched.
    std::optional<std::chrono::milliseconds> quarantineLeft();

    /// The endpoint closed the connection with the request in hand. writtenAt: when it was written.
    void endpointClosed(const EndpointEntry &endpoint, MonotonicTime writtenAt);

    /// An endpoint answered the request completely.
    void answered();

    /// The request's digest if it was needed so far, else an empty one.
    const RequestDigest &knownDigest() const
    {
        return digest_;
    }

    /// For logs: the part of the prompt, or the digest of the request, for which it was not dispatched. Empty if it was.
    const std::string &culprit() const
    {
        return culprit_;
    }

private:
    /// Parts of a longer prompt that are no suspects, which limits what crashes under it occupy.
    static constexpr std::size_t MaxParts = 32;

    /// withRequest: with the digest of the request, which takes the whole body.
    const CrashSuspects &suspects(bool withRequest);
    std::string nameOf(SuspectKey suspect);

    GatewayContext &context_;
    const CallerRequest &request_;
    const RequestMetadata &metadata_;
    const AdmittedRequest &admitted_;
    RequestDigest digest_;
    std::optional<CrashSuspects> suspects_;
    std::string culprit_;
};

} // namespace cowsliphead
