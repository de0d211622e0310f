#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "core/result.h"
#include "relay/textupdate.h"
#include "relay/textversion.h"

namespace cowsliphead
{

/// The last versions of a text that every gateway has a copy of. An older revision never replaces the copy, whichever gateway it comes from;
/// another text of the same revision does, so that a gateway agrees with the relay that it follows. Thread safety: owner task only.
class TextHistory
{
public:
    /// Adds a version. Returns false if it is not newer than the newest known one.
    bool add(const StoreRevision &revision, std::string text);

    /// The newest text was still the same at this revision.
    void confirm(const StoreRevision &revision);

    /// Returns the text that the update leads to, or nothing if it is older or the one already known. Errors: CodecMalformed, also if the base is not
    /// known; the receiver then asks for the whole text.
    Result<std::optional<std::string>> expand(const TextUpdate &update) const;

    /// Adds the version that the update leads to. Returns false if it is older or the one already known. Errors: as expand().
    Result<bool> apply(const TextUpdate &update);

    /// Returns the update for a receiver that has the given version (no revision: none), or nothing if it needs none.
    std::optional<TextUpdate> updateFor(const TextVersion &known);

    /// The newest version; no revision if there is none.
    TextVersion version() const;

    /// The newest revision; none if there is no text.
    StoreRevision revision() const;

    /// The newest text; empty if there is none.
    const std::string &text() const;

private:
    static constexpr std::size_t RetainedVersions = 6;

    struct Version {
        TextVersion version_;
        std::string text_;
    };

    const std::string *textOf(std::uint64_t digest) const;

    /// The newest one is at the back.
    std::deque<Version> versions_;

    /// Updates to the newest text, by the digest of the receiver's text: many gateways need the same one.
    std::map<std::uint64_t, TextUpdate> updates_;
};

} // namespace cowsliphead
