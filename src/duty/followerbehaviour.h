#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "core/result.h"
#include "core/systemclock.h"
#include "duty/followersettings.h"
#include "duty/recordspreader.h"
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

/// Keeps the daemon's records up to date, passes them on to its peers, and sends each new snapshot to the receivers. A task's behaviour.
class FollowerBehaviour
{
public:
    /// It takes no message; it is driven by its sockets and its timer.
    using Message = std::monostate;

    /// Precondition: the loop outlives the behaviour. Thread safety: the loop's task only.
    FollowerBehaviour(EventLoop &loop, FollowerSettings settings, Address<RecordSnapshot> snapshots, Address<RecordsConfirmed> confirmations);
    ~FollowerBehaviour();
    FollowerBehaviour(const FollowerBehaviour &) = delete;
    FollowerBehaviour &operator=(const FollowerBehaviour &) = delete;

    /// Listens for peers and begins. Returns the port. Precondition: called once. Errors: ListenFailed. Thread safety: the loop's task only.
    Result<std::uint16_t> listen();
    /// Nothing is expected. Thread safety: the loop's task only.
    void receive(Message message);

private:
    using Spreader = RecordSpreader<SystemClock, HttpStore, PeerConnectionPool>;

    Member self(std::uint16_t port) const;
    Spreader::Listener listener() const;

    FollowerSettings settings_;
    Address<RecordSnapshot> snapshots_;
    Address<RecordsConfirmed> confirmations_;
    SystemClock clock_;
    HttpStore store_;
    PeerConnectionPool links_;
    PeerServer server_;
    /// Set once the port is known, because the others are told of it.
    std::optional<Spreader> spreader_;
    Timer tick_;
};

} // namespace cowsliphead
