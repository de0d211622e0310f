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
    entries_[endpoint.endpoint_].load_.sent(clock_.now());
    return client.call(request, std::move(events), choice);
}

void EndpointPool::release(const EndpointId &endpoint)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
    found->second.load_.ended();
    if (onIdle_ && load(endpoint).inFlight_ == 0) {
        onIdle_(endpoint);
    }
}

void EndpointPool::closeIdleConnections(const EndpointId &endpoint)
{
    const auto found = entries_.find(endpoint);
    if (found != entries_.end() && found->second.client_) {
        found->second.client_->closeIdleConnections();
    }
}

void EndpointPool::recordReportedLoad(const EndpointId &endpoint, std::uint32_t requests)
{
    entries_[endpoint].load_.reported(requests, clock_.now());
}

void EndpointPool::onIdle(std::function<void(const EndpointId &)> callback)
{
    onIdle_ = std::move(callback);
}

EndpointLoad EndpointPool::load(const EndpointId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? EndpointLoad{} : found->second.load_.load(clock_.now());
}

HttpClient &EndpointPool::clientFor(const EndpointRecord &endpoint)
{
    auto &entry = entries_[endpoint.endpoint_];
    const bool isAddressChanged = entry.host_ != endpoint.host_ || entry.port_ != endpoint.port_;
    if (!entry.client_ || isAddressChanged) {
        entry.host_ = endpoint.host_;
        entry.port_ = endpoint.port_;
        entry.client_ = std::make_unique<HttpClient>(loop_, entry.host_, entry.port_, ConnectionTimeout);
    }
    return *entry.client_;
}

} // namespace cowsliphead
