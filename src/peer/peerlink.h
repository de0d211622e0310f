#pragma once

#include "decide/peeraddress.h"
#include "peer/recordquery.h"

namespace cowsliphead
{

/// Takes questions to peers. Any of them may be lost; answers come back to the owner in later turns, if at all.
template <typename T>
concept PeerLink = requires(T &link, PeerAddress peer, RecordQuery question)
{
    link.ask(peer, question);
};

} // namespace cowsliphead
