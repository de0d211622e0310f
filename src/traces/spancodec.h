#pragma once

#include <string>
#include <vector>

namespace cowsliphead
{

struct Span;

/// Encodes the spans as one OTLP/JSON export request. Thread safety: any thread.
std::string encodeSpans(const std::string &instance, const std::vector<Span> &spans);

} // namespace cowsliphead
