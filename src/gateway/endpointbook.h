#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "core/servicename.h"
#include "core/time.h"
#include "decide/endpointhealth.h"
#include "gateway/endpointstate.h"
#include "gateway/placement.h"
#include "http1/clientconnection.h"

namespace cowsliphead
{

class EventLoop;

/// The endpoints that may be used, and the connections to them.
class EndpointBook
{
public:
    /// Precondition: the loop outlives the book. Thread safety: the loop's task only.
    explicit EndpointBook(EventLoop &loop);
    ~EndpointBook();
    EndpointBook(const EndpointBook &) = delete;
    EndpointBook &operator=(const EndpointBook &) = delete;

    /// Takes in all entries; idle connections to those that left are closed. Thread safety: the loop's task only.
    void update(const std::vector<EndpointEntry> &entries);

    /// Endpoints of the service and stage that are not among the excluded ones; avoided ones only if there is no other.
    /// Thread safety: the loop's task only.
    placement::Candidates candidates(const ServiceName &service, EngineStage stage, const std::set<EndpointId> &excluded, MonotonicTime now);

    /// Shared, since a request in flight may outlive the listing. Thread safety: the loop's task only.
    std::shared_ptr<EndpointState> find(const EndpointId &id) const;

    /// True if an engine of this stage is listed. Thread safety: the loop's task only.
    bool hasStage(const ServiceName &service, EngineStage stage) const;

    /// The share of the places of these engines that this gateway's requests take. Thread safety: the loop's task only.
    double occupancy(const ServiceName &service, EngineStage stage) const;

    /// A connection for one request: an idle one, unless isNew asks for a new one. Thread safety: the loop's task only.
    std::shared_ptr<ClientConnection> connect(EndpointState &state, bool isNew, MonotonicTime now);

    /// Takes back a connection after its request. Thread safety: the loop's task only.
    void giveBack(EndpointState &state, std::shared_ptr<ClientConnection> connection, MonotonicTime now);

    /// Endpoints that failed lately. Thread safety: the loop's task only.
    EndpointHealth &health();

    /// Engines of this stage, of all services. Thread safety: the loop's task only.
    std::uint64_t countOf(EngineStage stage) const;

    /// Thread safety: the loop's task only.
    bool isEmpty() const;

private:
    EventLoop &loop_;
    std::map<EndpointId, std::shared_ptr<EndpointState>> states_;
    EndpointHealth health_;
};

} // namespace cowsliphead
