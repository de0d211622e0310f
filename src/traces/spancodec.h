#pragma once

#include <string>
#include <vector>

namespace cowsliphead
{

struct Span;

/// The spans as one OTLP/JSON request. Thread safety: any thread.
std::string encodeSpans(const std::string &instance, const std::vector<Span> &spans);

} // namespace cowsliphead
