#pragma once

#include "duty/dutyplatform.h"
#include "fleet/fleetcodec.h"
#include "gateway/dialect.h"
#include "store/rangedstore.h"

namespace cowsliphead
{

/// The types that connect a gateway to a platform.
template <typename T>
concept PlatformAdapter =
    Dialect<typename T::Dialect> && RangedStore<typename T::Store> && FleetCodec<typename T::FleetCodec> && DutyPlatform<typename T::DutyApi>;

} // namespace cowsliphead
