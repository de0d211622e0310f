#include "decide/claimkey.h"

#include "core/sha256.h"

namespace cowsliphead
{

namespace
{

constexpr std::size_t KeyDigits = 32;
constexpr std::size_t FingerprintDigits = 32;

/// The length keeps "a" + "bc" apart from "ab" + "c".
std::string measured(const std::string &part)
{
    return std::to_string(part.size()) + ":" + part;
}

} // namespace

ClaimKey claimKey(const AccountId &account, const std::string &idempotencyKey)
{
    return ClaimKey(sha256Hex(measured(account.value()) + measured(idempotencyKey)).substr(0, KeyDigits));
}

std::string requestFingerprint(const std::string &method, const std::string &path, const std::string &body)
{
    return sha256Hex(measured(method) + measured(path) + body).substr(0, FingerprintDigits);
}

} // namespace cowsliphead
