#pragma once

#include <cxxopts.hpp>

#include "store/storesettings.h"

namespace cowsliphead
{

/// Adds the options for the address and port of the store. Thread safety: any thread.
inline void addStoreOptions(cxxopts::Options &options)
{
    auto add = options.add_options();
    add("store-host", "Address of the store", cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("store-port", "Port of the store", cxxopts::value<std::uint16_t>()->default_value("7100"));
}

/// Reads the options added by addStoreOptions(). Thread safety: any thread.
inline StoreSettings storeSettingsFrom(const cxxopts::ParseResult &parsed)
{
    StoreSettings settings;
    settings.host_ = parsed["store-host"].as<std::string>();
    settings.port_ = parsed["store-port"].as<std::uint16_t>();
    return settings;
}

} // namespace cowsliphead
