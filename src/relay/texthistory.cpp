#include "relay/texthistory.h"

#include <algorithm>
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

bool TextHistory::add(const StoreRevision &revision, std::string text)
{
    const TextVersion added{ revision, digestOf(text) };
    if (revision < this->revision() || added == version()) {
        return false;
    }
    versions_.push_back({ added, std::move(text) });
    if (versions_.size() > RetainedVersions) {
        versions_.pop_front();
    }
    updates_.clear();
    return true;
}

void TextHistory::confirm(const StoreRevision &revision)
{
    if (!versions_.empty()) {
        auto &newest = versions_.back().version_.revision_;
        newest = std::max(newest, revision);
    }
}

Result<std::optional<std::string>> TextHistory::expand(const TextUpdate &update) const
{
    if (update.revision_ < revision() || version() == TextVersion{ update.revision_, update.digest_ }) {
        return std::optional<std::string>();
    }
    const std::string none;
    const auto *base = update.baseDigest_ == 0 ? &none : textOf(update.baseDigest_);
    if (base == nullptr) {
        return failure(ErrorCode::CodecMalformed);
    }
    auto text = textdelta::expand(update.bytes_, *base);
    if (!text || digestOf(*text) != update.digest_) {
        return failure(ErrorCode::CodecMalformed);
    }
    return std::optional(std::move(*text));
}

Result<bool> TextHistory::apply(const TextUpdate &update)
{
    auto text = expand(update);
    if (!text) {
        return tl::unexpected(text.error());
    }
    return text->has_value() && add(update.revision_, std::move(**text));
}

std::optional<TextUpdate> TextHistory::updateFor(const TextVersion &known)
{
    if (versions_.empty() || known.revision_ > revision() || known == version()) {
        return std::nullopt;
    }
    const auto *base = known.revision_.isNone() ? nullptr : textOf(known.digest_);
    const auto baseDigest = base == nullptr ? 0 : known.digest_;
    const auto [found, isNew] = updates_.try_emplace(baseDigest);
    if (isNew) {
        found->second = TextUpdate{ {}, baseDigest, version().digest_, textdelta::compress(text(), base == nullptr ? std::string_view() : *base) };
    }
    found->second.revision_ = revision();
    return found->second;
}

const std::string *TextHistory::textOf(std::uint64_t digest) const
{
    const auto found = std::find_if(versions_.rbegin(), versions_.rend(), [digest](const Version &item) { return item.version_.digest_ == digest; });
    return found == versions_.rend() ? nullptr : &found->text_;
}

TextVersion TextHistory::version() const
{
    return versions_.empty() ? TextVersion{} : versions_.back().version_;
}

StoreRevision TextHistory::revision() const
{
    return version().revision_;
}

const std::string &TextHistory::text() const
{
    static const std::string none;
    return versions_.empty() ? none : versions_.back().text_;
}

} // namespace cowsliphead
