#include "relay/relaymessagecodec.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "decide/crashreports.h"
#include "peer/messagepack.h"

namespace cowsliphead::relaymessagecodec
{

namespace
{

/// Raised with each change that a gateway of the version before would misread. Gateways of two formats do not understand each other: while both
/// are running, each asks a relay of its own.
constexpr std::uint32_t MessageFormat = 3;

struct WireAddress {
    std::string host_;
    std::uint16_t port_ = 0;

    MSGPACK_DEFINE_ARRAY(host_, port_)
};

struct WireMember {
    std::string incarnation_;
    std::string domain_;
    WireAddress address_;

    MSGPACK_DEFINE_ARRAY(incarnation_, domain_, address_)
};

struct WireLoad {
    EndpointKey endpoint_ = 0;
    std::uint32_t running_ = 0;
    std::uint64_t promptTokens_ = 0;

    MSGPACK_DEFINE_ARRAY(endpoint_, running_, promptTokens_)
};

struct WireUpdate {
    std::uint64_t revision_ = 0;
    std::uint64_t baseDigest_ = 0;
    std::uint64_t digest_ = 0;
    std::string bytes_;

    MSGPACK_DEFINE_ARRAY(revision_, baseDigest_, digest_, bytes_)
};

struct WireLease {
    EndpointKey endpoint_ = 0;
    std::uint64_t remainingMilliseconds_ = 0;

    MSGPACK_DEFINE_ARRAY(endpoint_, remainingMilliseconds_)
};

struct WireEndpointUpdate {
    WireUpdate list_;
    std::vector<WireLease> leases_;

    MSGPACK_DEFINE_ARRAY(list_, leases_)
};

struct WireVersion {
    std::uint64_t revision_ = 0;
    std::uint64_t digest_ = 0;

    MSGPACK_DEFINE_ARRAY(revision_, digest_)
};

/// The gateway is the sender of the query.
struct WireCounts {
    std::uint64_t window_ = 0;
    std::uint64_t version_ = 0;
    bool isFinal_ = false;
    std::map<std::string, std::uint64_t> requests_;

    MSGPACK_DEFINE_ARRAY(window_, version_, isFinal_, requests_)
};

/// The gateway is the receiver of the answer.
struct WireStored {
    std::uint64_t window_ = 0;
    std::uint64_t version_ = 0;

    MSGPACK_DEFINE_ARRAY(window_, version_)
};

struct WireSighting {
    std::uint64_t endpoint_ = 0;
    std::uint64_t request_ = 0;
    std::vector<std::uint64_t> parts_;
    std::uint32_t heldMilliseconds_ = 0;
    std::uint32_t ageMilliseconds_ = 0;
    bool isRefuted_ = false;

    MSGPACK_DEFINE_ARRAY(endpoint_, request_, parts_, heldMilliseconds_, ageMilliseconds_, isRefuted_)
};

struct WireClearance {
    std::uint64_t suspect_ = 0;
    std::uint32_t ageMilliseconds_ = 0;

    MSGPACK_DEFINE_ARRAY(suspect_, ageMilliseconds_)
};

/// Optional parts are arrays of at most one element.
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
                       MSGPACK_NVP("j", clearances_))
};

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
                       MSGPACK_NVP("j", clearances_))
};

WireAddress toWire(const PeerAddress &address)
{
    return { address.host_, address.port_ };
}

PeerAddress fromWire(const WireAddress &wire)
{
    return { wire.host_, wire.port_ };
}

WireMember toWire(const GatewayMember &member)
{
    return { member.incarnation_.value(), member.domain_.value(), toWire(member.address_) };
}

GatewayMember fromWire(const WireMember &wire)
{
    return { InstanceId(wire.incarnation_), FailureDomain(wire.domain_), fromWire(wire.address_) };
}

WireLoad toWire(const EndpointLoad &load)
{
    return { load.endpoint_, load.running_, load.promptTokens_ };
}

EndpointLoad fromWire(const WireLoad &wire)
{
    return { wire.endpoint_, wire.running_, wire.promptTokens_ };
}

WireUpdate toWire(const TextUpdate &update)
{
    return { update.revision_, update.baseDigest_, update.digest_, update.bytes_ };
}

TextUpdate fromWire(const WireUpdate &wire)
{
    return { wire.revision_, wire.baseDigest_, wire.digest_, wire.bytes_ };
}

WireLease toWire(const EndpointLease &lease)
{
    return { lease.endpoint_, static_cast<std::uint64_t>(lease.remaining_.count()) };
}

EndpointLease fromWire(const WireLease &wire)
{
    const auto remaining = std::min<std::uint64_t>(wire.remainingMilliseconds_, EndpointLease::MaxRemaining.count());
    return { wire.endpoint_, std::chrono::milliseconds(remaining) };
}

WireVersion toWire(const TextVersion &version)
{
    return { version.revision_, version.digest_ };
}

TextVersion fromWire(const WireVersion &wire)
{
    return { wire.revision_, wire.digest_ };
}

WireCounts toWire(const MemberCounts &counts)
{
    WireCounts wire{ counts.counts_.window_, counts.version_, counts.counts_.isFinal_, {} };
    for (const auto &[account, requests] : counts.counts_.requests_) {
        wire.requests_.emplace(account.value(), requests);
    }
    return wire;
}

MemberCounts fromWire(const WireCounts &wire)
{
    MemberCounts counts{ {}, wire.version_, { wire.window_, {}, wire.isFinal_ } };
    for (const auto &[account, requests] : wire.requests_) {
        counts.counts_.requests_.emplace(AccountId(account), requests);
    }
    return counts;
}

WireStored toWire(const CountsStored &stored)
{
    return { stored.window_, stored.version_ };
}

CountsStored fromWire(const WireStored &wire)
{
    return { {}, wire.window_, wire.version_ };
}

WireSighting toWire(const CrashSighting &sighting)
{
    WireSighting wire{ static_cast<std::uint64_t>(sighting.endpoint_),     static_cast<std::uint64_t>(sighting.request_),     {},
                       static_cast<std::uint32_t>(sighting.held_.count()), static_cast<std::uint32_t>(sighting.age_.count()), sighting.isRefuted_ };
    std::transform(
        sighting.parts_.begin(), sighting.parts_.end(), std::back_inserter(wire.parts_), [](SuspectKey part) { return static_cast<std::uint64_t>(part); });
    return wire;
}

CrashSighting fromWire(const WireSighting &wire)
{
    CrashSighting sighting{ IncarnationKey(wire.endpoint_),
                            SuspectKey(wire.request_),
                            {},
                            std::chrono::milliseconds(wire.heldMilliseconds_),
                            std::chrono::milliseconds(wire.ageMilliseconds_),
                            wire.isRefuted_ };
    std::transform(wire.parts_.begin(), wire.parts_.end(), std::back_inserter(sighting.parts_), [](std::uint64_t part) { return SuspectKey(part); });
    return sighting;
}

WireClearance toWire(const CrashClearance &clearance)
{
    return { static_cast<std::uint64_t>(clearance.suspect_), static_cast<std::uint32_t>(clearance.age_.count()) };
}

CrashClearance fromWire(const WireClearance &wire)
{
    return { SuspectKey(wire.suspect_), std::chrono::milliseconds(wire.ageMilliseconds_) };
}

template <typename Wire, typename Items>
std::vector<Wire> allToWire(const Items &items)
{
    std::vector<Wire> wire;
    std::transform(items.begin(), items.end(), std::back_inserter(wire), [](const auto &item) { return toWire(item); });
    return wire;
}

template <typename Item, typename Wire>
std::vector<Item> allFromWire(const std::vector<Wire> &wire)
{
    std::vector<Item> items;
    std::transform(wire.begin(), wire.end(), std::back_inserter(items), [](const Wire &item) { return fromWire(item); });
    return items;
}

WireEndpointUpdate toWire(const EndpointUpdate &update)
{
    return { toWire(update.list_), allToWire<WireLease>(update.leases_) };
}

EndpointUpdate fromWire(const WireEndpointUpdate &wire)
{
    return { fromWire(wire.list_), allFromWire<EndpointLease>(wire.leases_) };
}

template <typename Wire, typename Item>
std::vector<Wire> optionalToWire(const std::optional<Item> &item)
{
    return item ? std::vector<Wire>{ toWire(*item) } : std::vector<Wire>();
}

template <typename Item, typename Wire>
std::optional<Item> optionalFromWire(const std::vector<Wire> &wire)
{
    return wire.empty() ? std::nullopt : std::optional<Item>(fromWire(wire.front()));
}

/// Sums and differences of loads need them in order and without duplicates.
Result<EndpointLoads> loadsFromWire(const std::vector<WireLoad> &wire)
{
    auto loads = allFromWire<EndpointLoad>(wire);
    const auto isOutOfOrder = [](const EndpointLoad &left, const EndpointLoad &right) { return left.endpoint_ >= right.endpoint_; };
    if (std::adjacent_find(loads.begin(), loads.end(), isOutOfOrder) != loads.end()) {
        return failure(ErrorCode::CodecMalformed);
    }
    return loads;
}

} // namespace

std::string encode(const RelayQuery &query)
{
    return messagepack::pack(WireQuery{ MessageFormat,
                                        toWire(query.from_),
                                        query.isFromRelay_,
                                        query.isLeaving_,
                                        optionalToWire<WireAddress>(query.unusableRelay_),
                                        toWire(query.configuration_),
                                        toWire(query.endpoints_),
                                        query.membersOf_.value(),
                                        query.members_,
                                        allToWire<WireLoad>(query.loads_),
                                        allToWire<WireCounts>(query.counts_),
                                        query.crashes_.knownOf_.value(),
                                        query.crashes_.knownVersion_,
                                        allToWire<WireSighting>(query.crashes_.reports_.sightings_),
                                        allToWire<WireClearance>(query.crashes_.reports_.clearances_) });
}

Result<RelayQuery> decodeQuery(std::string_view bytes)
{
    const auto wire = messagepack::unpack<WireQuery>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    if (wire->format_ != MessageFormat) {
        return failure(ErrorCode::CodecMalformed);
    }
    auto loads = loadsFromWire(wire->loads_);
    if (!loads) {
        return tl::unexpected(loads.error());
    }
    auto counts = allFromWire<MemberCounts>(wire->counts_);
    for (auto &member : counts) {
        member.gateway_ = InstanceId(wire->from_.incarnation_);
    }
    return RelayQuery{ fromWire(wire->from_),
                       wire->isFromRelay_,
                       wire->isLeaving_,
                       optionalFromWire<PeerAddress>(wire->unusableRelay_),
                       fromWire(wire->configuration_),
                       fromWire(wire->endpoints_),
                       InstanceId(wire->membersOf_),
                       wire->members_,
                       std::move(*loads),
                       std::move(counts),
                       { InstanceId(wire->crashesOf_),
                         wire->crashesVersion_,
                         { allFromWire<CrashSighting>(wire->sightings_), allFromWire<CrashClearance>(wire->clearances_) } } };
}

std::string encode(const RelayAnswer &answer)
{
    WireAnswer wire;
    wire.format_ = MessageFormat;
    wire.from_ = toWire(answer.from_);
    wire.isRelay_ = answer.status_.isRelay_;
    wire.isFit_ = answer.status_.isFit_;
    wire.isStoreLost_ = answer.status_.isStoreLost_;
    wire.isLeaving_ = answer.status_.isLeaving_;
    wire.redirect_ = optionalToWire<WireAddress>(answer.status_.redirect_);
    wire.configuration_ = answer.configuration_;
    wire.configurationAge_ = answer.configurationAge_ ? answer.configurationAge_->count() : -1;
    wire.configurationUpdate_ = optionalToWire<WireUpdate>(answer.configurationUpdate_);
    wire.endpointUpdate_ = optionalToWire<WireEndpointUpdate>(answer.endpointUpdate_);
    wire.endpoints_ = answer.endpoints_;
    wire.membersVersion_ = answer.membersVersion_;
    if (answer.members_) {
        wire.members_.push_back(allToWire<WireMember>(*answer.members_));
    }
    wire.gateways_ = answer.gateways_;
    wire.loads_ = allToWire<WireLoad>(answer.loads_);
    wire.stored_ = allToWire<WireStored>(answer.stored_);
    wire.crashesVersion_ = answer.crashes_.version_;
    wire.sightings_ = allToWire<WireSighting>(answer.crashes_.reports_.sightings_);
    wire.clearances_ = allToWire<WireClearance>(answer.crashes_.reports_.clearances_);
    return messagepack::pack(wire);
}

Result<RelayAnswer> decodeAnswer(std::string_view bytes)
{
    const auto wire = messagepack::unpack<WireAnswer>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    if (wire->format_ != MessageFormat) {
        return failure(ErrorCode::CodecMalformed);
    }
    auto loads = loadsFromWire(wire->loads_);
    if (!loads) {
        return tl::unexpected(loads.error());
    }
    RelayAnswer answer;
    answer.from_ = fromWire(wire->from_);
    answer.status_ = RelayStatus{ wire->isRelay_, wire->isFit_, wire->isStoreLost_, wire->isLeaving_, optionalFromWire<PeerAddress>(wire->redirect_) };
    answer.configuration_ = wire->configuration_;
    if (wire->configurationAge_ >= 0) {
        answer.configurationAge_ = std::chrono::milliseconds(wire->configurationAge_);
    }
    answer.configurationUpdate_ = optionalFromWire<TextUpdate>(wire->configurationUpdate_);
    answer.endpointUpdate_ = optionalFromWire<EndpointUpdate>(wire->endpointUpdate_);
    answer.endpoints_ = wire->endpoints_;
    answer.membersVersion_ = wire->membersVersion_;
    if (!wire->members_.empty()) {
        answer.members_ = allFromWire<GatewayMember>(wire->members_.front());
    }
    answer.gateways_ = wire->gateways_;
    answer.loads_ = std::move(*loads);
    answer.stored_ = allFromWire<CountsStored>(wire->stored_);
    answer.crashes_ = { wire->crashesVersion_, { allFromWire<CrashSighting>(wire->sightings_), allFromWire<CrashClearance>(wire->clearances_) } };
    return answer;
}

} // namespace cowsliphead::relaymessagecodec
