#pragma once

#include <type_traits>

#include "records/recordbody.h"
#include "records/recordkind.h"

namespace cowsliphead
{

/// The kind of records that have this body type. Precondition: one of RecordBody's types. Thread safety: any thread.
template <typename Body>
constexpr RecordKind recordKindOf()
{
    if constexpr (std::is_same_v<Body, AccountRecord>) {
        return RecordKind::Account;
    } else if constexpr (std::is_same_v<Body, KeyRecord>) {
        return RecordKind::Key;
    } else if constexpr (std::is_same_v<Body, ModelRecord>) {
        return RecordKind::Model;
    } else if constexpr (std::is_same_v<Body, AdapterRecord>) {
        return RecordKind::Adapter;
    } else if constexpr (std::is_same_v<Body, EndpointRecord>) {
        return RecordKind::Endpoint;
    } else if constexpr (std::is_same_v<Body, RouteRecord>) {
        return RecordKind::Route;
    } else if constexpr (std::is_same_v<Body, PolicyRecord>) {
        return RecordKind::Policy;
    } else {
        static_assert(std::is_same_v<Body, PoolRecord>);
        return RecordKind::Pool;
    }
}

} // namespace cowsliphead
