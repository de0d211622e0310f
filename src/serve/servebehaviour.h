#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <variant>

#include "caller/callerserver.h"
#include "core/result.h"
#include "decide/drainmachine.h"
#include "metrics/metricsquery.h"
#include "records/recordsconfirmed.h"
#include "records/recordsnapshot.h"
#include "serve/drainrequest.h"
#include "serve/servelinks.h"
#include "serve/servesettings.h"
#include "serve/servingcontext.h"
#include "serve/tlsreload.h"
#include "task/address.h"
#include "task/timer.h"

namespace cowsliphead
{

class ActiveRequest;
class EventLoop;
struct RequestFacts;

/// Behaviour of the serving task: accepts callers' requests and forwards them to endpoints. Owns the sockets of both sides.
/// Thread safety: call only from the event loop's task.
class ServeBehaviour
{
public:
    using Message = std::variant<RecordSnapshot, RecordsConfirmed, ClaimVerdict, DrainRequest, MetricsQuery, TlsReload>;

    /// links hold the addresses of the daemon's other tasks. Precondition: the loop outlives the behaviour.
    ServeBehaviour(EventLoop &loop, const ServeSettings &settings, const ServeLinks &links);
    ~ServeBehaviour();

    /// Starts listening and returns the port. Errors: ListenFailed, TlsFilesUnusable.
    Result<std::uint16_t> listen();

    void receive(Message message);

private:
    void handleRequest(HttpRequest request, const std::shared_ptr<CallerExchange> &exchange);
    void startRequest(const RequestFacts &facts, HttpRequest request, const std::shared_ptr<CallerExchange> &exchange);
    void reject(const HttpRequest &request, CallerExchange &exchange, std::error_code code);
    void replyWithModels(const HttpRequest &request, CallerExchange &exchange);
    void onMessage(RecordSnapshot records);
    void onMessage(const ClaimVerdict &verdict);
    void onMessage(RecordsConfirmed confirmation);
    void onMessage(DrainRequest request);
    void onMessage(const MetricsQuery &query);
    void onMessage(TlsReload request);
    Result<void> loadTls();
    void replyWithHealth(CallerExchange &exchange) const;
    void checkDrain();

    ServeSettings settings_;
    ServingContext context_;
    std::list<std::unique_ptr<ActiveRequest>> activeRequests_;
    DrainMachine drain_;
    Timer drainCheckTimer_;
    CallerServer server_;
};

} // namespace cowsliphead
