#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "gateway/answerfacts.h"
#include "gateway/cachehandle.h"
#include "gateway/callerfacts.h"
#include "gateway/dispatchfacts.h"
#include "http1/requesthead.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// How callers and endpoints spell what the gateway reads and writes.
template <typename T>
concept Dialect = requires(const RequestHead &request, const ResponseHead &response, const DispatchFacts &dispatch, std::string_view text)
{
    {
        T::readRequest(request)
        } -> std::same_as<Result<CallerFacts>>;
    {
        T::endpointRequest(request, dispatch)
        } -> std::same_as<RequestHead>;
    {
        T::readAnswer(response)
        } -> std::same_as<AnswerFacts>;
    {
        T::readHandle(text)
        } -> std::same_as<Result<std::string>>;
    {
        T::releaseRequest(CacheHandle())
        } -> std::same_as<RequestHead>;
    {
        T::ownAnswerHeaders(text)
        } -> std::same_as<HttpHeaders>;
};

} // namespace cowsliphead
