#pragma once

#include "decide/peeraddress.h"
#include "peer/recordquery.h"

namespace cowsliphead
{

/// Sends queries to peers. A query may be lost. Answers reach the owner in later iterations of the event loop, if at all.
template <typename T>
concept PeerLink = requires(T &link, PeerAddress peer, RecordQuery query)
{
    link.sendQuery(peer, query);
};

} // namespace cowsliphead
