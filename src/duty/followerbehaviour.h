#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/result.h"
#include "core/systemclock.h"
#include "duty/followersettings.h"
#include "duty/recordreplicator.h"
#include "peer/peerconnectionpool.h"
#include "peer/peerserver.h"
#include "records/recordsconfirmed.h"
#include "records/recordsnapshot.h"
#include "store/httpstore.h"
#include "task/address.h"
#include "task/timer.h"

namespace cowsliphead
{

class EventLoop;

/// Task behaviour that keeps the daemon's records up to date, serves them to its peers, and sends each new snapshot and confirmation
/// to the given addresses.
/// Thread safety: all members, on the loop's task only.
class FollowerBehaviour
{
public:
    /// Takes no messages; driven by its sockets and its timer.
    using Message = std::monostate;

    /// Precondition: the loop outlives the behaviour.
    FollowerBehaviour(EventLoop &loop, FollowerSettings settings, Address<RecordSnapshot> snapshots, Address<RecordsConfirmed> confirmations);
    ~FollowerBehaviour();
    FollowerBehaviour(const FollowerBehaviour &) = delete;
    FollowerBehaviour &operator=(const FollowerBehaviour &) = delete;

    /// Starts listening for peers and following the records. Returns the port. Precondition: called once. Errors: ListenFailed.
    Result<std::uint16_t> listen();
    /// Ignores the message.
    void receive(Message message);

private:
    using Replicator = RecordReplicator<SystemClock, HttpStore, PeerConnectionPool>;

    std::optional<std::string> answer(std::string_view bytes);
    Member self(std::uint16_t port) const;
    Replicator::Listener listener() const;

    FollowerSettings settings_;
    Address<RecordSnapshot> snapshots_;
    Address<RecordsConfirmed> confirmations_;
    SystemClock clock_;
    HttpStore store_;
    PeerConnectionPool links_;
    PeerServer server_;
    /// Created once the port is known, because the member entry sent to peers contains it.
    std::optional<Replicator> replicator_;
    Timer tick_;
};

} // namespace cowsliphead
