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

/// The serving task's side of the claim task: matches verdicts with the requests that wait for them.
class ClaimClient
{
public:
    using OnVerdict = std::function<void(const ClaimVerdict &)>;

    /// Thread safety: the serving task only.
    ClaimClient(Address<ClaimRequest> requests, Address<ClaimEnd> ends);

    /// Calls back with the verdict in a later turn, unless forget() comes first. Precondition: the owner's sequence is new.
    /// Thread safety: the serving task only.
    void ask(const ClaimRequest &request, OnVerdict onVerdict);

    /// Nobody waits for the verdict any more; a claim that is granted nevertheless is released. Thread safety: the serving task only.
    void forget(std::uint64_t sequence);

    /// Writes down how a request with a claim ended. Thread safety: the serving task only.
    void end(const ClaimEnd &end) const;

    /// Hands on a verdict. Thread safety: the serving task only.
    void take(const ClaimVerdict &verdict);

private:
    Address<ClaimRequest> requests_;
    Address<ClaimEnd> ends_;
    std::map<std::uint64_t, OnVerdict> waiting_;
};

} // namespace cowsliphead
