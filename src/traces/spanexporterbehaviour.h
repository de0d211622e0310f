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

/// Collects completed spans and exports them in batches as OTLP/JSON: one line of the file and one request to the collector per batch.
/// A task's behaviour. Thread safety: the loop's task only.
class SpanExporterBehaviour
{
public:
    using Message = Span;

    /// Precondition: the loop outlives the behaviour.
    SpanExporterBehaviour(EventLoop &loop, const TraceSettings &settings, std::string instance);

    /// Exports the remaining spans.
    ~SpanExporterBehaviour();

    /// Adds a span to the current batch. Spans beyond the maximum batch size are dropped until the next flush.
    void receive(Message message);

private:
    void flush();

    std::string instance_;
    std::vector<Span> spans_;
    std::ofstream file_;
    std::unique_ptr<HttpClient> collector_;
    Timer flushTimer_;
};

} // namespace cowsliphead
