#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "decide/claimend.h"
#include "decide/claimrequest.h"
#include "decide/claimverdict.h"
#include "task/address.h"

namespace cowsliphead
{

/// Sends claim requests to the claim task and passes each verdict to the request that waits for it.
/// Thread safety: call only from the serving task.
class ClaimClient
{
public:
    using OnVerdict = std::function<void(const ClaimVerdict &)>;

    ClaimClient(Address<ClaimRequest> requests, Address<ClaimEnd> ends);

    /// Requests a claim. onVerdict is called in a later iteration of the event loop, unless stopWaiting() is called first.
    /// Precondition: the owner's sequence number was not used before.
    void acquire(const ClaimRequest &request, OnVerdict onVerdict);

    /// Discards the callback; a claim that is granted later is released.
    void stopWaiting(std::uint64_t sequence);

    /// Reports to the claim task how a request with a claim ended.
    void end(const ClaimEnd &end) const;

    /// Passes a verdict of the claim task to the waiting request.
    void deliver(const ClaimVerdict &verdict);

private:
    Address<ClaimRequest> requests_;
    Address<ClaimEnd> ends_;
    std::map<std::uint64_t, OnVerdict> waiting_;
};

} // namespace cowsliphead
