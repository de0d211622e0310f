#pragma once

#include <string>

namespace cowsliphead
{

struct EndpointRecord;
struct HttpRequest;

/// The caller's request as an endpoint gets it: without the caller's key and hop-by-hop fields, with the endpoint's own
/// credential and the attempt's identifier. Thread safety: any thread.
HttpRequest forwardedRequest(const HttpRequest &request, const EndpointRecord &endpoint, const std::string &key, const std::string &requestId);

} // namespace cowsliphead
