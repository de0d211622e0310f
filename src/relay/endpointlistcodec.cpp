#include "relay/endpointlistcodec.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>

#include "core/errorcode.h"
#include "peer/messagepack.h"

namespace cowsliphead::endpointlistcodec
{

namespace
{

struct WireEndpoint {
    std::string id_;
    std::uint64_t incarnation_ = 0;
    std::string service_;
    std::string host_;
    std::uint16_t port_ = 0;
    std::string domain_;
    std::uint32_t slots_ = 1;
    bool isLeaving_ = false;
    std::uint8_t stage_ = 0;
    bool isReclaimable_ = false;
    std::uint64_t since_ = 0;
    bool isKept_ = false;
    std::uint64_t sinceEra_ = 0;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", id_),
                       MSGPACK_NVP("n", incarnation_),
                       MSGPACK_NVP("s", service_),
                       MSGPACK_NVP("h", host_),
                       MSGPACK_NVP("p", port_),
                       MSGPACK_NVP("d", domain_),
                       MSGPACK_NVP("c", slots_),
                       MSGPACK_NVP("l", isLeaving_),
                       MSGPACK_NVP("g", stage_),
                       MSGPACK_NVP("r", isReclaimable_),
                       MSGPACK_NVP("v", since_),
                       MSGPACK_NVP("k", isKept_),
                       MSGPACK_NVP("e", sinceEra_))
};

std::uint8_t codeOf(EngineStage stage)
{
    switch (stage) {
    case EngineStage::Prefill:
        return 1;
    case EngineStage::Decode:
        return 2;
    case EngineStage::None:
        break;
    }
    return 0;
}

EngineStage stageOf(std::uint8_t code)
{
    switch (code) {
    case 1:
        return EngineStage::Prefill;
    case 2:
        return EngineStage::Decode;
    default:
        return EngineStage::None;
    }
}

WireEndpoint toWire(const EndpointRegistration &registration)
{
    const auto &endpoint = registration.entry_;
    return { endpoint.id_.value(),    endpoint.incarnation_,       endpoint.service_.value(),
             endpoint.address_.host_, endpoint.address_.port_,     endpoint.domain_.value(),
             endpoint.slots_,         endpoint.isLeaving_,         codeOf(endpoint.stage_),
             endpoint.isReclaimable_, registration.since_.number_, registration.keepUntil_.has_value(),
             registration.since_.era_ };
}

EndpointEntry fromWire(const WireEndpoint &wire)
{
    EndpointEntry endpoint;
    endpoint.id_ = EndpointId(wire.id_);
    endpoint.incarnation_ = wire.incarnation_;
    endpoint.service_ = ServiceName(wire.service_);
    endpoint.address_ = SocketAddress{ wire.host_, wire.port_ };
    endpoint.domain_ = FailureDomain(wire.domain_);
    endpoint.slots_ = wire.slots_;
    endpoint.isLeaving_ = wire.isLeaving_;
    endpoint.stage_ = stageOf(wire.stage_);
    endpoint.isReclaimable_ = wire.isReclaimable_;
    return endpoint;
}

} // namespace

std::string encode(const EndpointList &list)
{
    std::vector<WireEndpoint> wire;
    wire.reserve(list.registrations_.size());
    std::transform(list.registrations_.begin(), list.registrations_.end(), std::back_inserter(wire), toWire);
    return messagepack::pack(wire);
}

EndpointLeases leasesOf(const EndpointList &list, MonotonicTime now)
{
    EndpointLeases leases;
    for (const auto &registration : list.registrations_) {
        if (registration.keepUntil_) {
            const auto remaining = std::max(*registration.keepUntil_ - now, MonotonicTime::duration(0));
            leases.push_back({ endpointKeyOf(registration.entry_.id_), std::chrono::floor<std::chrono::milliseconds>(remaining) });
        }
    }
    return leases;
}

Result<EndpointList> decode(const StoreRevision &revision, std::string_view bytes, const EndpointLeases &leases, MonotonicTime askedAt)
{
    const auto wire = messagepack::unpack<std::vector<WireEndpoint>>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    std::map<EndpointKey, MonotonicTime> keptUntil;
    for (const auto &lease : leases) {
        keptUntil[lease.endpoint_] = askedAt + lease.remaining_;
    }
    EndpointList list{ revision, {} };
    list.registrations_.reserve(wire->size());
    for (const auto &endpoint : *wire) {
        if (endpoint.since_ == 0) {
            return failure(ErrorCode::CodecMalformed);
        }
        EndpointRegistration registration{ fromWire(endpoint), { endpoint.sinceEra_, endpoint.since_ }, std::nullopt };
        if (endpoint.isKept_) {
            const auto found = keptUntil.find(endpointKeyOf(registration.entry_.id_));
            if (found == keptUntil.end()) {
                // The sender has given it up by now.
                continue;
            }
            registration.keepUntil_ = found->second;
        }
        list.registrations_.push_back(std::move(registration));
    }
    return list;
}

} // namespace cowsliphead::endpointlistcodec
