#pragma once

#include <string>

#include "core/accountid.h"
#include "core/identifier.h"

namespace cowsliphead
{

/// Digest of a client account and an idempotency key, in hexadecimal digits.
using ClaimKey = Identifier<struct ClaimKeyTag>;

/// The account is empty on a route that is open to all. Thread safety: any thread.
ClaimKey claimKey(const AccountId &account, const std::string &idempotencyKey);

/// Tells two requests with the same idempotency key apart. The method is the protocol's name of it. Thread safety: any thread.
std::string requestFingerprint(const std::string &method, const std::string &path, const std::string &body);

} // namespace cowsliphead
