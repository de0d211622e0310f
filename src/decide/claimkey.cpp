#include "decide/claimkey.h"

#include "core/sha256.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t KeyDigits = 32;
constexpr std::size_t FingerprintDigits = 32;

/// The length prefix distinguishes "a" + "bc" from "ab" + "c".
std::string lengthPrefixed(const std::string &part)
{
    return std::to_string(part.size()) + ":" + part;
}

} // namespace

ClaimKey claimKey(const AccountId &account, const std::string &idempotencyKey)
{
    return ClaimKey(sha256Hex(lengthPrefixed(account.value()) + lengthPrefixed(idempotencyKey)).substr(0, KeyDigits));
}

std::string requestFingerprint(const std::string &method, const std::string &path, const std::string &body)
{
    return sha256Hex(lengthPrefixed(method) + lengthPrefixed(path) + body).substr(0, FingerprintDigits);
}

} // namespace cowsliphead
