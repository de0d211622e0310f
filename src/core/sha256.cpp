#include "core/sha256.h"

#include <array>

#include <openssl/sha.h>

#include "core/hex.h"

namespace cowsliphead
{

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return toHex(digest);
}

} // namespace cowsliphead
