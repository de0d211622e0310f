#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/result.h"
#include "relay/relayanswer.h"
#include "relay/wire/wireaddress.h"
#include "relay/wire/wireclearance.h"
#include "relay/wire/wireendpointupdate.h"
#include "relay/wire/wirefailure.h"
#include "relay/wire/wireload.h"
#include "relay/wire/wiremember.h"
#include "relay/wire/wireobservation.h"
#include "relay/wire/wireretrygrant.h"
#include "relay/wire/wiresighting.h"
#include "relay/wire/wirestored.h"
#include "relay/wire/wireupdate.h"

namespace cowsliphead
{

/// Wire form of RelayAnswer. Optional parts are arrays of at most one element.
struct WireAnswer {
    std::uint32_t format_ = 0;
    WireMember from_;
    bool isRelay_ = false;
    bool isFit_ = false;
    bool isStoreLost_ = false;
    bool isLeaving_ = false;
    std::vector<WireAddress> redirect_;
    std::uint64_t configuration_ = 0;

    /// In milliseconds; -1 if the configuration was never confirmed.
    std::int64_t configurationAge_ = -1;
    std::vector<WireUpdate> configurationUpdate_;
    std::vector<WireEndpointUpdate> endpointUpdate_;
    std::uint64_t endpoints_ = 0;
    std::uint64_t membersVersion_ = 0;
    std::vector<std::vector<WireMember>> members_;
    std::uint64_t gateways_ = 0;
    std::vector<WireLoad> loads_;
    std::vector<WireStored> stored_;
    std::uint64_t crashesVersion_ = 0;
    std::vector<WireSighting> sightings_;
    std::vector<WireClearance> clearances_;

    /// The eras of configuration_ and of endpoints_; empty from the version before, which knows no eras.
    std::vector<std::uint64_t> eras_;
    std::vector<WireObservation> observations_;
    std::vector<WireFailure> failures_;
    std::vector<WireRetryGrant> retryGrants_;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("z", format_),
                       MSGPACK_NVP("f", from_),
                       MSGPACK_NVP("r", isRelay_),
                       MSGPACK_NVP("t", isFit_),
                       MSGPACK_NVP("s", isStoreLost_),
                       MSGPACK_NVP("x", isLeaving_),
                       MSGPACK_NVP("d", redirect_),
                       MSGPACK_NVP("c", configuration_),
                       MSGPACK_NVP("a", configurationAge_),
                       MSGPACK_NVP("u", configurationUpdate_),
                       MSGPACK_NVP("h", endpointUpdate_),
                       MSGPACK_NVP("y", endpoints_),
                       MSGPACK_NVP("v", membersVersion_),
                       MSGPACK_NVP("m", members_),
                       MSGPACK_NVP("g", gateways_),
                       MSGPACK_NVP("l", loads_),
                       MSGPACK_NVP("w", stored_),
                       MSGPACK_NVP("n", crashesVersion_),
                       MSGPACK_NVP("q", sightings_),
                       MSGPACK_NVP("j", clearances_),
                       MSGPACK_NVP("e", eras_),
                       MSGPACK_NVP("b", observations_),
                       MSGPACK_NVP("i", failures_),
                       MSGPACK_NVP("p", retryGrants_))
};

/// Thread safety: any thread.
WireAnswer toWire(const RelayAnswer &answer);

/// Errors: CodecMalformed. Thread safety: any thread.
Result<RelayAnswer> fromWire(const WireAnswer &wire);

} // namespace cowsliphead
