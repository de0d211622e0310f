#pragma once

namespace cowsliphead
{

struct HttpResponseHead;

/// The head that a caller gets for an endpoint's answer: its status and content type, and that the request has run.
/// Thread safety: any thread.
HttpResponseHead answerHeadFor(const HttpResponseHead &endpointHead);

} // namespace cowsliphead
