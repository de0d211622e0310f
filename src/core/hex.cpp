#include "core/hex.h"

#include <iterator>

#include <boost/algorithm/hex.hpp>

namespace cowsliphead
{

std::string toHex(std::span<const unsigned char> bytes)
{
    std::string text;
    text.reserve(bytes.size() * 2);
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(), std::back_inserter(text));
    return text;
}

} // namespace cowsliphead
