#pragma once

#include <optional>
#include <string>

#include "core/errorcode.h"

namespace cowsliphead
{

struct GatewayContext;

/// Lets a request be written only while its caller's key cannot have been withdrawn unseen.
class KeyGuard
{
public:
    /// An empty key is one that the request's route does not ask for. Precondition: the context outlives the guard.
    /// Thread safety: the context's task only.
    KeyGuard(const GatewayContext &context, std::string key);

    /// Why the request must not be written now: RecordsTooOld or KeyUnknown. Ask right before writing: the process may have been
    /// suspended since the request was read. Thread safety: the context's task only.
    std::optional<ErrorCode> objection() const;

private:
    const GatewayContext &context_;
    std::string key_;
};

} // namespace cowsliphead
