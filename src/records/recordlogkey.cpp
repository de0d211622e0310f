#include "records/recordlogkey.h"

#include <charconv>

namespace cowsliphead
{

namespace
{

constexpr std::size_t RevisionDigits = 20;

}

std::string recordLogKey(Revision revision)
{
    const auto digits = std::to_string(revision);
    return RecordLogPrefix + std::string(RevisionDigits - digits.size(), '0') + digits;
}

Revision revisionFromLogKey(const std::string &key)
{
    const std::string prefix = RecordLogPrefix;
    if (!key.starts_with(prefix)) {
        return 0;
    }
    Revision revision = 0;
    const auto *end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + prefix.size(), end, revision);
    return parsed.ptr == end && parsed.ec == std::errc() ? revision : 0;
}

} // namespace cowsliphead
