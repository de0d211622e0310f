#pragma once

#include <string_view>

#include "core/result.h"
#include "fleet/configuration.h"
#include "fleet/endpointentry.h"
#include "store/storeentry.h"

namespace cowsliphead
{

/// Where the store holds the configuration and the endpoints' entries, and how they are encoded.
template <typename T>
concept FleetCodec = requires(const StoreEntry &entry)
{
    {
        T::configurationKey()
        } -> std::convertible_to<std::string_view>;
    {
        T::endpointPrefix()
        } -> std::convertible_to<std::string_view>;
    {
        T::decodeConfiguration(entry)
        } -> std::same_as<Result<Configuration>>;
    {
        T::decodeEndpoint(entry)
        } -> std::same_as<Result<EndpointEntry>>;
};

} // namespace cowsliphead
