#pragma once

#include <chrono>
#include <cstddef>
#include <set>
#include <vector>

#include "decide/crashrecord.h"
#include "decide/incarnationkey.h"
#include "decide/suspectkey.h"

namespace cowsliphead
{

/// The crashes that speak against one suspect. Thread safety: as any value type.
class CrashEvidence
{
public:
    /// wasAnswered: the suspect was answered before these crashes. Precondition: the records outlive the evidence; all have the suspect.
    CrashEvidence(SuspectKey suspect, std::vector<const CrashRecord *> records, bool wasAnswered);

    SuspectKey suspect() const
    {
        return suspect_;
    }

    bool wasAnswered() const
    {
        return wasAnswered_;
    }

    /// False for a request. Precondition: there are records.
    bool isPart() const
    {
        return records_.front()->request_ != suspect_;
    }

    /// In the order of the crashes.
    const std::vector<const CrashRecord *> &records() const
    {
        return records_;
    }

    const std::set<IncarnationKey> &endpoints() const
    {
        return endpoints_;
    }

    /// Crashes in a row that suffice to blame a suspect.
    static constexpr std::size_t BlamedInARow = 3;

    /// True if the crashes suffice to blame the suspect. A part of prompts that was answered before needs more of them, since many requests
    /// may have it: were it blamed for endpoints that fail for another reason, all of these would be refused. explained: endpoints whose
    /// crashes do not count.
    bool suffices(const std::set<IncarnationKey> &explained = {}) const;

    /// True if there are enough crashes to compare the suspect with others.
    bool isSuspected() const;

    /// How many of the crashes followed one another: each at another endpoint, and under a request that was written after the crash before,
    /// so that endpoints which fail at the same moment count once. Crashes with a part count only under different requests, since those under
    /// a request that comes again speak against the request. explained: endpoints whose crashes do not count.
    std::size_t crashesInARow(const std::set<IncarnationKey> &explained = {}) const;

    /// True if this suspect is the likelier cause of crashes at which both were there: one that was never answered before one that was, then
    /// the one with more crashes, then the later part of the prompt, which fewer requests have.
    bool isLikelierThan(const CrashEvidence &other) const;

private:
    static constexpr std::size_t SuspectedInARow = 2;

    /// Crashes at separate moments that suffice to blame a part of prompts although its requests ran at the same time.
    static constexpr std::size_t BlamedApart = 5;

    /// Engines that fail together do so within less.
    static constexpr std::chrono::milliseconds SeparateMoments{ 50 };

    /// True if a part was there at so many crashes at separate moments, and not only under one request.
    bool crashedApart(const std::set<IncarnationKey> &explained) const;

    /// Position in the prompt; a request comes after all its parts.
    std::size_t depth() const;

    SuspectKey suspect_;
    std::vector<const CrashRecord *> records_;
    std::set<IncarnationKey> endpoints_;
    bool wasAnswered_;
};

} // namespace cowsliphead
