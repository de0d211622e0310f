#include "relay/texthistory.h"

#include <string_view>
#include <utility>

#include <xxhash.h>

#include "core/errorcode.h"
#include "relay/textdelta.h"

namespace cowsliphead
{

namespace
{

std::uint64_t digestOf(const std::string &text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

bool TextHistory::add(std::uint64_t revision, std::string text)
{
    if (revision <= this->revision()) {
        return false;
    }
    const auto digest = digestOf(text);
    versions_.emplace(revision, Version{ digest, std::move(text) });
    if (versions_.size() > RetainedVersions) {
        versions_.erase(versions_.begin());
    }
    updates_.clear();
    return true;
}

Result<bool> TextHistory::apply(const TextUpdate &update)
{
    const bool isKnown = version() == TextVersion{ update.revision_, update.digest_ };
    if (update.revision_ < revision() || isKnown) {
        return false;
    }
    const auto base = versions_.find(update.baseRevision_);
    if (update.baseRevision_ != 0 && base == versions_.end()) {
        return failure(ErrorCode::CodecMalformed);
    }
    auto text = textdelta::expand(update.bytes_, update.baseRevision_ == 0 ? std::string_view() : std::string_view(base->second.text_));
    if (!text || digestOf(*text) != update.digest_) {
        return failure(ErrorCode::CodecMalformed);
    }
    versions_.erase(update.revision_);
    return add(update.revision_, std::move(*text));
}

std::optional<TextUpdate> TextHistory::updateFor(const TextVersion &known)
{
    if (versions_.empty() || known.revision_ > revision() || known == version()) {
        return std::nullopt;
    }
    const auto base = versions_.find(known.revision_);
    const bool hasBase = base != versions_.end() && base->second.digest_ == known.digest_;
    const auto baseRevision = hasBase ? known.revision_ : 0;
    const auto [found, isNew] = updates_.try_emplace(baseRevision);
    if (isNew) {
        const auto baseText = hasBase ? std::string_view(base->second.text_) : std::string_view();
        found->second = TextUpdate{ revision(), baseRevision, version().digest_, textdelta::compress(text(), baseText) };
    }
    return found->second;
}

TextVersion TextHistory::version() const
{
    return versions_.empty() ? TextVersion{} : TextVersion{ versions_.rbegin()->first, versions_.rbegin()->second.digest_ };
}

std::uint64_t TextHistory::revision() const
{
    return version().revision_;
}

const std::string &TextHistory::text() const
{
    static const std::string none;
    return versions_.empty() ? none : versions_.rbegin()->second.text_;
}

} // namespace cowsliphead
