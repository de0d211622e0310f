#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/result.h"
#include "fleet/endpointentry.h"
#include "gateway/cachehandle.h"
#include "gateway/dispatchmetadata.h"
#include "gateway/requestmetadata.h"
#include "gateway/responsemetadata.h"
#include "http1/requesthead.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// Translates between the platform's HTTP header fields and the gateway's types.
template <typename T>
concept Dialect =
    requires(const RequestHead &request, const ResponseHead &response, const DispatchMetadata &dispatch, const EndpointEntry &endpoint, std::string_view text)
{
    {
        T::readRequest(request)
        } -> std::same_as<Result<RequestMetadata>>;
    {
        T::endpointRequest(request, dispatch)
        } -> std::same_as<RequestHead>;
    {
        T::readResponse(response)
        } -> std::same_as<ResponseMetadata>;
    {
        T::readHandle(text)
        } -> std::same_as<Result<std::string>>;
    {
        T::releaseRequest(CacheHandle())
        } -> std::same_as<RequestHead>;
    {
        T::stateRequest(endpoint)
        } -> std::same_as<RequestHead>;
    {
        T::readIncarnation(text)
        } -> std::same_as<Result<std::uint64_t>>;
    {
        T::gatewayResponseHeaders(text)
        } -> std::same_as<HttpHeaders>;
};

} // namespace cowsliphead
