#pragma once

#include <cstdint>
#include <string>

#include "caller/callerlimits.h"
#include "caller/tlsfiles.h"
#include "core/failuredomain.h"
#include "core/instanceid.h"
#include "decide/drainpolicy.h"

namespace cowsliphead
{

/// Settings of the serving task: its identity, listening address, limits, TLS files and drain policy.
struct ServeSettings {
    InstanceId instance_;
    FailureDomain failureDomain_;
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    CallerLimits limits_;
    TlsFiles tls_;
    DrainPolicy drain_;
};

} // namespace cowsliphead
