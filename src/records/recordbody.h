#pragma once

#include <variant>

#include "records/accountrecord.h"
#include "records/adapterrecord.h"
#include "records/endpointrecord.h"
#include "records/keyrecord.h"
#include "records/modelrecord.h"
#include "records/policyrecord.h"
#include "records/poolrecord.h"
#include "records/routerecord.h"

namespace cowsliphead
{

/// What a record says, once it is understood; std::monostate for a schema that this program does not know.
using RecordBody = std::variant<std::monostate, AccountRecord, KeyRecord, ModelRecord, AdapterRecord, EndpointRecord, RouteRecord, PolicyRecord, PoolRecord>;

} // namespace cowsliphead
