#include "endpoint/endpointpool.h"

#include "http/httpcall.h"
#include "http/httpclient.h"
#include "http/httprequest.h"
#include "records/endpointrecord.h"

namespace cowsliphead
{

namespace
{

/// Limits connecting and idle connections only; the progress of a request is monitored by the timers of its attempt.
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
    states_[endpoint.endpoint_].load_.sent(clock_.now());
    return client.call(request, std::move(events), choice);
}

void EndpointPool::release(const EndpointId &endpoint)
{
    const auto found = states_.find(endpoint);
    if (found == states_.end()) {
        return;
    }
    found->second.load_.ended();
    if (onIdle_ && load(endpoint).inFlight_ == 0) {
        onIdle_(endpoint);
    }
}

void EndpointPool::closeIdleConnections(const EndpointId &endpoint)
{
    const auto found = states_.find(endpoint);
    if (found != states_.end() && found->second.client_) {
        found->second.client_->closeIdleConnections();
    }
}

void EndpointPool::recordReportedLoad(const EndpointId &endpoint, std::uint32_t requests)
{
    states_[endpoint].load_.reported(requests, clock_.now());
}

void EndpointPool::onIdle(std::function<void(const EndpointId &)> callback)
{
    onIdle_ = std::move(callback);
}

EndpointLoad EndpointPool::load(const EndpointId &endpoint) const
{
    const auto found = states_.find(endpoint);
    return found == states_.end() ? EndpointLoad{} : found->second.load_.load(clock_.now());
}

HttpClient &EndpointPool::clientFor(const EndpointRecord &endpoint)
{
    auto &state = states_[endpoint.endpoint_];
    const bool isAddressChanged = state.host_ != endpoint.host_ || state.port_ != endpoint.port_;
    if (!state.client_ || isAddressChanged) {
        state.host_ = endpoint.host_;
        state.port_ = endpoint.port_;
        state.client_ = std::make_unique<HttpClient>(loop_, state.host_, state.port_, ConnectionTimeout);
    }
    return *state.client_;
}

} // namespace cowsliphead
