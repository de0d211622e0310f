#include "relay/endpointlistcodec.h"

#include <algorithm>
#include <cstdint>
#include <iterator>

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

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("i", id_),
                       MSGPACK_NVP("n", incarnation_),
                       MSGPACK_NVP("s", service_),
                       MSGPACK_NVP("h", host_),
                       MSGPACK_NVP("p", port_),
                       MSGPACK_NVP("d", domain_),
                       MSGPACK_NVP("c", slots_),
                       MSGPACK_NVP("l", isLeaving_),
                       MSGPACK_NVP("g", stage_),
                       MSGPACK_NVP("r", isReclaimable_))
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

WireEndpoint toWire(const EndpointEntry &endpoint)
{
    return { endpoint.id_.value(),     endpoint.incarnation_, endpoint.service_.value(), endpoint.address_.host_, endpoint.address_.port_,
             endpoint.domain_.value(), endpoint.slots_,       endpoint.isLeaving_,       codeOf(endpoint.stage_), endpoint.isReclaimable_ };
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

std::string encode(const std::vector<EndpointEntry> &endpoints)
{
    std::vector<WireEndpoint> wire;
    wire.reserve(endpoints.size());
    std::transform(endpoints.begin(), endpoints.end(), std::back_inserter(wire), toWire);
    return messagepack::pack(wire);
}

Result<std::vector<EndpointEntry>> decode(std::string_view bytes)
{
    const auto wire = messagepack::unpack<std::vector<WireEndpoint>>(bytes);
    if (!wire) {
        return tl::unexpected(wire.error());
    }
    std::vector<EndpointEntry> endpoints;
    endpoints.reserve(wire->size());
    std::transform(wire->begin(), wire->end(), std::back_inserter(endpoints), fromWire);
    return endpoints;
}

} // namespace cowsliphead::endpointlistcodec
