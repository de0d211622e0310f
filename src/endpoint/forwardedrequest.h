#pragma once

#include <string>

namespace cowsliphead
{

struct EndpointRecord;
struct HttpRequest;

/// Builds the request to send to the endpoint: removes the caller's credentials and hop-by-hop fields from the headers, and adds the
/// endpoint's own credential and the attempt's identifier. Thread safety: any thread.
HttpRequest forwardedRequest(const HttpRequest &request, const EndpointRecord &endpoint, const std::string &key, const std::string &requestId);

} // namespace cowsliphead
