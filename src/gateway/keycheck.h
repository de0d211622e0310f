#pragma once

#include <optional>
#include <string>

#include "core/errorcode.h"

namespace cowsliphead
{

struct GatewayContext;

/// Checks that a caller's key is still valid before its request is written. A key is accepted only while the configuration is so
/// recent that it cannot lack a withdrawal of the key. Thread safety: the context's task only.
class KeyCheck
{
public:
    /// An empty key means that the route needs none. Precondition: the context outlives the check.
    KeyCheck(const GatewayContext &context, std::string key);

    /// Why the request must not be written now: RecordsTooOld or KeyUnknown. Ask right before writing: the process may have been
    /// suspended since the request was read.
    std::optional<ErrorCode> rejection() const;

private:
    const GatewayContext &context_;
    std::string key_;
};

} // namespace cowsliphead
