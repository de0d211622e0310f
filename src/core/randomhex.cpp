#include "core/randomhex.h"

#include <vector>

#include <openssl/rand.h>

#include "core/hex.h"

namespace cowsliphead
{

std::string randomHex(int byteCount)
{
    std::vector<unsigned char> bytes(static_cast<std::size_t>(byteCount));
    RAND_bytes(bytes.data(), byteCount);
    return toHex(bytes);
}

} // namespace cowsliphead
