#pragma once

#include <string>

#include "core/accountid.h"
#include "core/identifier.h"

namespace cowsliphead
{

/// Digest of a client account and an idempotency key, in hexadecimal digits.
using ClaimKey = Identifier<struct ClaimKeyTag>;

/// Builds the claim key. The account is empty on a route that needs no API key. Thread safety: any thread.
ClaimKey claimKey(const AccountId &account, const std::string &idempotencyKey);

/// Digest of a request's content; distinguishes requests with the same idempotency key. method: the method's name in the
/// protocol. Thread safety: any thread.
std::string requestFingerprint(const std::string &method, const std::string &path, const std::string &body);

} // namespace cowsliphead
