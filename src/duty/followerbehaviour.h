#pragma once

#include <memory>
#include <variant>

#include "duty/recordfollower.h"
#include "records/recordsnapshot.h"
#include "store/httpstore.h"
#include "store/storesettings.h"
#include "task/address.h"

namespace cowsliphead
{

class EventLoop;

/// Keeps the daemon's records up to date and sends each new snapshot on. A task's behaviour.
class FollowerBehaviour
{
public:
    /// It takes no message; it is driven by the store.
    using Message = std::monostate;

    /// Precondition: the loop outlives the behaviour. Thread safety: the loop's task only.
    FollowerBehaviour(EventLoop &loop, const StoreSettings &settings, const Address<RecordSnapshot> &receiver);
    ~FollowerBehaviour();

    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message message);

private:
    HttpStore store_;
    RecordFollower<HttpStore> follower_;
};

} // namespace cowsliphead
