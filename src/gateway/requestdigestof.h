#pragma once

#include "core/accountid.h"
#include "core/requestdigest.h"

namespace cowsliphead
{

struct CallerRequest;
struct RequestMetadata;

/// Returns the digest of what the account asks for: equal for each submission of the same request, at any gateway. Hashes the whole body.
/// Precondition: none. Thread safety: any thread.
RequestDigest requestDigestOf(const CallerRequest &request, const RequestMetadata &metadata, const AccountId &account);

} // namespace cowsliphead
