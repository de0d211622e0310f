#pragma once

#include <variant>

#include "claim/claimbatcher.h"
#include "claim/claimflush.h"
#include "decide/claimend.h"
#include "decide/claimrequest.h"
#include "decide/claimverdict.h"
#include "store/httpstore.h"
#include "store/storesettings.h"
#include "task/address.h"

namespace cowsliphead
{

class EventLoop;

/// Claims idempotency keys in the platform's store. Runs as the behaviour of a task and owns its connections to the store. Thread safety: the
/// loop's task only.
class ClaimBehaviour
{
public:
    using Message = std::variant<ClaimRequest, ClaimEnd, ClaimFlush>;

    /// Precondition: the loop outlives the behaviour.
    ClaimBehaviour(EventLoop &loop, const StoreSettings &settings, const Address<ClaimVerdict> &receiver);
    ~ClaimBehaviour();

    void receive(Message message);

private:
    void handle(ClaimRequest request);
    void handle(ClaimEnd end);
    void handle(ClaimFlush flush);

    EventLoop &loop_;
    HttpStore store_;
    ClaimBatcher<HttpStore> batcher_;
    Timer flushTimeout_;
};

} // namespace cowsliphead
