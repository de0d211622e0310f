#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "core/servicename.h"
#include "core/time.h"
#include "decide/endpointhealth.h"
#include "decide/enginespeeds.h"
#include "gateway/avoidedendpoints.h"
#include "gateway/endpointstate.h"
#include "gateway/placement.h"
#include "http1/clientconnection.h"

namespace cowsliphead
{

class BufferBudget;
class EventLoop;
struct ResponseMetadata;

/// The available endpoints and the connections to them. Thread safety: the loop's task only.
class EndpointTable
{
public:
    /// Precondition: the loop and the budget of its connections outlive the table.
    EndpointTable(EventLoop &loop, BufferBudget &buffers);
    ~EndpointTable();
    EndpointTable(const EndpointTable &) = delete;
    EndpointTable &operator=(const EndpointTable &) = delete;

    /// Replaces the list of endpoints; idle connections to removed endpoints are closed. The state of a removed one is remembered for
    /// FormerLifetime, since the same incarnation may be listed again. An incarnation that is listed for the first time keeps what it said in answers
    /// before.
    void update(const std::vector<EndpointEntry> &entries, MonotonicTime now, WallTime wallNow);

    /// Returns the endpoints of the service and stage that are not excluded and may get a request. Endpoints that failed recently, here or
    /// at several gateways, are returned only if there is no other, or rarely as a trial.
    placement::Candidates candidates(const ServiceName &service, EngineStage stage, const std::set<EndpointId> &excluded, MonotonicTime now);

    /// Returns shared ownership, since a running dispatch may outlive the endpoint's entry. Null if the endpoint is not listed.
    std::shared_ptr<EndpointState> find(const EndpointId &id) const;

    /// The listed endpoint whose present incarnation this is. Null if another one is listed, or none.
    std::shared_ptr<EndpointState> findIncarnation(IncarnationKey incarnation) const;

    /// How long until one of the service's endpoints may get requests again; nothing unless all of them have asked for a pause or leave.
    std::optional<std::chrono::milliseconds> timeUntilReturn(const ServiceName &service, MonotonicTime now) const;

    /// Takes what an endpoint says of itself in the head of an answer to any request. openedAt: when the connection was opened.
    static void answered(EndpointState &state, const ResponseMetadata &answer, MonotonicTime openedAt, MonotonicTime now);

    /// True if an engine of this stage is listed.
    bool hasStage(const ServiceName &service, EngineStage stage) const;

    /// Share of these engines' slots that requests of all gateways occupy. Where the load of the others is not known, each of the gateways
    /// is taken to occupy as many as this one.
    double occupancy(const ServiceName &service, EngineStage stage, std::size_t gateways, MonotonicTime now) const;

    /// Sets what the other gateways have placed at the endpoints; those that are not listed have nothing of them.
    void setLoadOfOthers(const EndpointLoads &loads, MonotonicTime now);

    /// What this gateway has placed at the endpoints.
    EndpointLoads localLoads() const;

    /// Returns an idle connection, or a new one if there is none or isNew is set.
    std::shared_ptr<ClientConnection> acquireConnection(EndpointState &state, bool isNew, MonotonicTime now);

    /// Returns a connection to the idle ones after its request, or closes it.
    void releaseConnection(EndpointState &state, std::shared_ptr<ClientConnection> connection, MonotonicTime now);

    /// Endpoints that failed recently.
    EndpointHealth &health();

    /// True if another incarnation of the endpoint is listed than the one whose state this is; what this one does says nothing of that.
    bool isReplaced(const EndpointState &state) const;

    /// This gateway saw the endpoint fail; several gateways that see it avoid it together.
    void sawFailure(const EndpointState &state, EndpointFailureKind kind, MonotonicTime now);

    /// This incarnation of the endpoint answered a request that was written at askedAt, so that failures seen before count no longer.
    void endAvoidance(const EndpointState &state, MonotonicTime askedAt, MonotonicTime now);

    /// Replaces the failures that the other gateways have seen.
    void setFailuresOfOthers(const EndpointFailures &failures, MonotonicTime now);

    /// Ends the avoidance of endpoints whose failures were seen too long ago.
    void updateAvoidance(MonotonicTime now);

    const AvoidedEndpoints &avoided() const;

    /// How fast the engines read prompts.
    EngineSpeeds &speeds();
    const EngineSpeeds &speeds() const;

    /// Number of engines of this stage, over all services.
    std::uint64_t countOf(EngineStage stage) const;

    bool isEmpty() const;

private:
    /// Longer than an incarnation that was removed comes back.
    static constexpr std::chrono::minutes FormerLifetime{ 10 };

    struct FormerEndpoint {
        std::shared_ptr<EndpointState> state_;
        MonotonicTime forgetAt_;
    };

    /// The state of this incarnation of the endpoint, or a new one.
    std::shared_ptr<EndpointState> stateOf(const EndpointEntry &entry, MonotonicTime now, WallTime wallNow) const;
    void forgetOldest(MonotonicTime now);
    void updateEngines();

    EventLoop &loop_;
    BufferBudget &buffers_;
    std::map<EndpointId, std::shared_ptr<EndpointState>> states_;

    /// The last states of endpoints that are no longer listed.
    std::map<EndpointId, FormerEndpoint> former_;
    EndpointHealth health_;
    AvoidedEndpoints avoided_;
    EngineSpeeds speeds_;
};

} // namespace cowsliphead
