#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <variant>

#include "caller/callerserver.h"
#include "core/result.h"
#include "decide/drainmachine.h"
#include "metrics/metricsquery.h"
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

/// Takes in callers' requests and answers them from endpoints. A task's behaviour; it owns all sockets of both sides.
class ServeBehaviour
{
public:
    using Message = std::variant<RecordSnapshot, ClaimVerdict, DrainRequest, MetricsQuery, TlsReload>;

    /// links lead to the other tasks of the daemon. Precondition: the loop outlives the behaviour. Thread safety: the loop's task only.
    ServeBehaviour(EventLoop &loop, const ServeSettings &settings, const ServeLinks &links);
    ~ServeBehaviour();

    /// Returns the port. Errors: ListenFailed, TlsFilesUnusable. Thread safety: the loop's task only.
    Result<std::uint16_t> listen();

    /// Thread safety: the loop's task only.
    void receive(Message message);

private:
    void handle(HttpRequest request, const std::shared_ptr<CallerExchange> &exchange);
    void begin(const RequestFacts &facts, HttpRequest request, const std::shared_ptr<CallerExchange> &exchange);
    void refuse(const HttpRequest &request, CallerExchange &exchange, std::error_code code);
    void listModels(const HttpRequest &request, CallerExchange &exchange);
    void take(RecordSnapshot records);
    void take(const ClaimVerdict &verdict);
    void take(DrainRequest request);
    void take(const MetricsQuery &query);
    void take(TlsReload request);
    Result<void> loadTls();
    void health(CallerExchange &exchange) const;
    void checkDrain();

    ServeSettings settings_;
    ServingContext context_;
    std::list<std::unique_ptr<ActiveRequest>> active_;
    DrainMachine drain_;
    Timer drainCheck_;
    CallerServer server_;
};

} // namespace cowsliphead
