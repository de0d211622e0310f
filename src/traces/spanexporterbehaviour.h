#pragma once

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "task/timer.h"
#include "traces/span.h"
#include "traces/tracesettings.h"

namespace cowsliphead
{

class EventLoop;
class HttpClient;

/// Gathers ended spans and writes them out as OTLP/JSON, a line or a request for each batch. A task's behaviour.
class SpanExporterBehaviour
{
public:
    using Message = Span;

    /// Precondition: the loop outlives the behaviour. Thread safety: the loop's task only.
    SpanExporterBehaviour(EventLoop &loop, const TraceSettings &settings, std::string instance);

    /// Writes out what is left. Thread safety: the loop's task only.
    ~SpanExporterBehaviour();

    /// Takes a span; when too many wait for a collector that does not keep up, new ones are dropped. Thread safety: the loop's task only.
    void receive(Message message);

private:
    void flush();

    std::string instance_;
    std::vector<Span> spans_;
    std::ofstream file_;
    std::unique_ptr<HttpClient> collector_;
    Timer flush_;
};

} // namespace cowsliphead
