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

/// The parsed content of a record; std::monostate if this program could not parse it, such as one of a newer schema.
using RecordBody = std::variant<std::monostate, AccountRecord, KeyRecord, ModelRecord, AdapterRecord, EndpointRecord, RouteRecord, PolicyRecord, PoolRecord>;

} // namespace cowsliphead
