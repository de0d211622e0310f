#pragma once

#include "relay/endpointlease.h"
#include "relay/textupdate.h"

namespace cowsliphead
{

/// Brings a gateway's knowledge of the endpoints up to that of its relay.
struct EndpointUpdate {
    /// The relay's list, in the form of endpointlistcodec.
    TextUpdate list_;

    /// One for each listed endpoint whose entry is only kept.
    EndpointLeases leases_;
};

} // namespace cowsliphead
