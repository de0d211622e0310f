#include "endpoint/endpointpool.h"

#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "records/endpointrecord.h"

namespace cowsliphead
{

namespace
{

/// Bounds only connecting and silent connections; progress of a request is watched by its own timers.
constexpr std::chrono::minutes ConnectionTimeout{ 10 };

} // namespace

EndpointPool::EndpointPool(EventLoop &loop)
    : loop_(loop)
{
}

EndpointPool::~EndpointPool() = default;

std::shared_ptr<HttpCall> EndpointPool::call(const EndpointRecord &endpoint, const HttpRequest &request, HttpCallEvents events)
{
    auto &client = clientFor(endpoint);
    ++slots_[endpoint.endpoint_].inFlight_;
    return client.call(request, std::move(events));
}

void EndpointPool::release(const EndpointId &endpoint)
{
    const auto found = slots_.find(endpoint);
    if (found != slots_.end() && found->second.inFlight_ > 0) {
        --found->second.inFlight_;
    }
}

EndpointLoad EndpointPool::load(const EndpointId &endpoint) const
{
    const auto found = slots_.find(endpoint);
    return found == slots_.end() ? EndpointLoad{} : EndpointLoad{ found->second.inFlight_ };
}

HttpClient &EndpointPool::clientFor(const EndpointRecord &endpoint)
{
    auto &slot = slots_[endpoint.endpoint_];
    const bool hasMoved = slot.host_ != endpoint.host_ || slot.port_ != endpoint.port_;
    if (!slot.client_ || hasMoved) {
        slot.host_ = endpoint.host_;
        slot.port_ = endpoint.port_;
        slot.client_ = std::make_unique<HttpClient>(loop_, slot.host_, slot.port_, ConnectionTimeout);
    }
    return *slot.client_;
}

} // namespace cowsliphead
