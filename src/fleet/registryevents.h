#pragma once

#include <functional>
#include <memory>
#include <string>

#include "fleet/configuration.h"
#include "fleet/configurationconfirmed.h"

namespace cowsliphead
{

/// Callbacks for what the registry reads.
struct RegistryEvents {
    /// A newer configuration, and its stored form.
    std::function<void(std::shared_ptr<const Configuration>, const std::string &text)> onConfiguration_;

    /// The configuration last passed on was the newest one when the confirming call was sent.
    std::function<void(ConfigurationConfirmed)> onConfirmed_;

    /// The directory of endpoints may have changed.
    std::function<void()> onEndpoints_;

    /// The store answers all reads, or one of them has failed. Called for each change, and once for the first result.
    std::function<void(bool)> onReachable_;
};

} // namespace cowsliphead
