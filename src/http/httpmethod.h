#pragma once

namespace cowsliphead
{

/// HTTP request methods; Other stands for every method that is not listed.
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

/// Returns the method's name as written in a request line, "OTHER" for Other. Thread safety: any thread.
const char *httpMethodName(HttpMethod method);

/// True if HTTP defines the method as idempotent, so that the request may be repeated. Thread safety: any thread.
bool isIdempotentMethod(HttpMethod method);

} // namespace cowsliphead
