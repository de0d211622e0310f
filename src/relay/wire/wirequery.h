#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/result.h"
#include "relay/relayquery.h"
#include "relay/wire/wireaddress.h"
#include "relay/wire/wireclearance.h"
#include "relay/wire/wirecounts.h"
#include "relay/wire/wirefailure.h"
#include "relay/wire/wireload.h"
#include "relay/wire/wiremember.h"
#include "relay/wire/wireobservation.h"
#include "relay/wire/wireretrydeposit.h"
#include "relay/wire/wiresighting.h"
#include "relay/wire/wireversion.h"

namespace cowsliphead
{

/// Wire form of RelayQuery. Optional parts are arrays of at most one element.
struct WireQuery {
    std::uint32_t format_ = 0;
    WireMember from_;
    bool isFromRelay_ = false;
    bool isLeaving_ = false;
    std::vector<WireAddress> unusableRelay_;
    WireVersion configuration_;
    WireVersion endpoints_;
    std::string membersOf_;
    std::uint64_t members_ = 0;
    std::vector<WireLoad> loads_;
    std::vector<WireCounts> counts_;
    std::string crashesOf_;
    std::uint64_t crashesVersion_ = 0;
    std::vector<WireSighting> sightings_;
    std::vector<WireClearance> clearances_;
    std::vector<WireObservation> observations_;
    std::vector<WireFailure> failures_;
    std::vector<WireRetryDeposit> retryDeposits_;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("z", format_),
                       MSGPACK_NVP("f", from_),
                       MSGPACK_NVP("r", isFromRelay_),
                       MSGPACK_NVP("x", isLeaving_),
                       MSGPACK_NVP("u", unusableRelay_),
                       MSGPACK_NVP("c", configuration_),
                       MSGPACK_NVP("e", endpoints_),
                       MSGPACK_NVP("o", membersOf_),
                       MSGPACK_NVP("m", members_),
                       MSGPACK_NVP("l", loads_),
                       MSGPACK_NVP("w", counts_),
                       MSGPACK_NVP("k", crashesOf_),
                       MSGPACK_NVP("n", crashesVersion_),
                       MSGPACK_NVP("q", sightings_),
                       MSGPACK_NVP("j", clearances_),
                       MSGPACK_NVP("b", observations_),
                       MSGPACK_NVP("i", failures_),
                       MSGPACK_NVP("p", retryDeposits_))
};

/// Thread safety: any thread.
WireQuery toWire(const RelayQuery &query);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<RelayQuery> fromWire(const WireQuery &wire);

} // namespace cowsliphead
