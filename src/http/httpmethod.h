#pragma once

namespace cowsliphead
{

/// The request methods that the system passes on.
enum class HttpMethod {
    Get,
    Head,
    Post,
    Put,
    Delete,
    Patch,
    Options,
    Other,
};

/// The method's name as it stands in a request line. Thread safety: any thread.
const char *httpMethodName(HttpMethod method);

/// True if HTTP itself says that the request may be repeated. Thread safety: any thread.
bool isIdempotentMethod(HttpMethod method);

} // namespace cowsliphead
