#pragma once

#include <string_view>

#include "core/result.h"
#include "fleet/configuration.h"
#include "fleet/endpointentry.h"
#include "store/storeentry.h"

namespace cowsliphead
{

/// Defines the store keys and the encoding of the configuration and of the endpoints' entries.
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
