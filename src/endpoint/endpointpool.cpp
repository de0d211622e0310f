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

std::shared_ptr<HttpCall> EndpointPool::call(const EndpointRecord &endpoint, const HttpRequest &request, ConnectionChoice choice, HttpCallEvents events)
{
    auto &client = clientFor(endpoint);
    slots_[endpoint.endpoint_].load_.sent(clock_.now());
    return client.call(request, std::move(events), choice);
}

void EndpointPool::release(const EndpointId &endpoint)
{
    const auto found = slots_.find(endpoint);
    if (found == slots_.end()) {
        return;
    }
    found->second.load_.ended();
    if (idle_ && load(endpoint).inFlight_ == 0) {
        idle_(endpoint);
    }
}

void EndpointPool::closeIdleConnections(const EndpointId &endpoint)
{
    const auto found = slots_.find(endpoint);
    if (found != slots_.end() && found->second.client_) {
        found->second.client_->closeIdleConnections();
    }
}

void EndpointPool::recordReportedLoad(const EndpointId &endpoint, std::uint32_t requests)
{
    slots_[endpoint].load_.reported(requests, clock_.now());
}

void EndpointPool::onIdle(std::function<void(const EndpointId &)> callback)
{
    idle_ = std::move(callback);
}

EndpointLoad EndpointPool::load(const EndpointId &endpoint) const
{
    const auto found = slots_.find(endpoint);
    return found == slots_.end() ? EndpointLoad{} : found->second.load_.load(clock_.now());
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
