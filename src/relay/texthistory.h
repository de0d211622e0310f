#pragma once

#include <cstdint>
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
    bool add(std::uint64_t revision, std::string text);

    /// Adds the version that the update leads to. Returns false if it is older or the one already known. Errors: CodecMalformed, also if the
    /// base is not known or another one; the receiver then asks for the whole text.
    Result<bool> apply(const TextUpdate &update);

    /// Returns the update for a receiver that has the given version (revision 0: none), or nothing if it needs none.
    std::optional<TextUpdate> updateFor(const TextVersion &known);

    /// The newest version; revision 0 if there is none.
    TextVersion version() const;

    /// The newest revision; 0 if there is none.
    std::uint64_t revision() const;

    /// The newest text; empty if there is none.
    const std::string &text() const;

private:
    static constexpr std::size_t RetainedVersions = 6;

    struct Version {
        std::uint64_t digest_ = 0;
        std::string text_;
    };

    std::map<std::uint64_t, Version> versions_;

    /// Updates to the newest revision, by the receiver's revision: many gateways need the same one.
    std::map<std::uint64_t, TextUpdate> updates_;
};

} // namespace cowsliphead
