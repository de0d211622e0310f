#pragma once

namespace cowsliphead
{

struct HttpResponseHead;

/// The response head for the caller: the endpoint's status and content type, and the outcome "run".
/// Thread safety: any thread.
HttpResponseHead answerHeadFor(const HttpResponseHead &endpointHead);

} // namespace cowsliphead
