#include "relay/texthistory.h"

#include <utility>

#include "core/errorcode.h"
#include "relay/textdelta.h"

namespace cowsliphead
{

bool TextHistory::add(std::uint64_t revision, std::string text)
{
    if (revision <= this->revision()) {
        return false;
    }
    versions_.emplace(revision, std::move(text));
    if (versions_.size() > RetainedVersions) {
        versions_.erase(versions_.begin());
    }
    updates_.clear();
    return true;
}

Result<bool> TextHistory::apply(const TextUpdate &update)
{
    if (update.revision_ <= revision()) {
        return false;
    }
    const auto base = versions_.find(update.baseRevision_);
    if (update.baseRevision_ != 0 && base == versions_.end()) {
        return failure(ErrorCode::CodecMalformed);
    }
    auto text = textdelta::expand(update.bytes_, update.baseRevision_ == 0 ? std::string_view() : std::string_view(base->second));
    if (!text) {
        return failure(ErrorCode::CodecMalformed);
    }
    return add(update.revision_, std::move(*text));
}

std::optional<TextUpdate> TextHistory::updateFor(std::uint64_t revision)
{
    if (versions_.empty() || revision >= this->revision()) {
        return std::nullopt;
    }
    const auto base = versions_.find(revision);
    const auto baseRevision = base == versions_.end() ? 0 : revision;
    const auto [found, isNew] = updates_.try_emplace(baseRevision);
    if (isNew) {
        const auto baseText = baseRevision == 0 ? std::string_view() : std::string_view(base->second);
        found->second = TextUpdate{ this->revision(), baseRevision, textdelta::compress(text(), baseText) };
    }
    return found->second;
}

std::uint64_t TextHistory::revision() const
{
    return versions_.empty() ? 0 : versions_.rbegin()->first;
}

const std::string &TextHistory::text() const
{
    static const std::string None;
    return versions_.empty() ? None : versions_.rbegin()->second;
}

} // namespace cowsliphead
