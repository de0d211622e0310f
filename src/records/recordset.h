#pragma once

#include <map>
#include <memory>
#include <vector>

#include "core/revision.h"
#include "records/record.h"
#include "records/recordkey.h"
#include "records/recordkind.h"

namespace cowsliphead
{

struct Change;

/// All records in force at one revision. It never changes; a change gives a new set that shares the unchanged records.
class RecordSet
{
public:
    /// The set after the change. Precondition: the change's revision is the next one. Thread safety: any thread.
    std::shared_ptr<const RecordSet> after(const Change &change) const;

    /// Thread safety: any thread.
    Revision revision() const;

    /// Null if there is none in force. Thread safety: any thread.
    const AccountRecord *account(const AccountId &account) const;

    /// Null if there is none in force. Thread safety: any thread.
    const KeyRecord *key(const KeyDigest &digest) const;

    /// Null if there is none in force. Thread safety: any thread.
    const ModelRecord *model(const ModelId &model) const;

    /// Null if there is none in force. Thread safety: any thread.
    const EndpointRecord *endpoint(const EndpointId &endpoint) const;

    /// The route with the longest prefix of the path; null if there is none. Thread safety: any thread.
    const RouteRecord *routeFor(const std::string &path) const;

    /// The policy named "default", or the built-in one. Thread safety: any thread.
    const PolicyRecord &policy() const;

    /// All records by kind and name. Thread safety: any thread.
    const std::map<RecordKey, std::shared_ptr<const Record>> &all() const;

    /// All records of one type, by name. Thread safety: any thread.
    template <typename Body>
    std::vector<const Body *> allOf() const
    {
        std::vector<const Body *> found;
        for (const auto &[key, record] : records_) {
            if (const auto *body = std::get_if<Body>(&record->body_)) {
                found.push_back(body);
            }
        }
        return found;
    }

private:
    template <typename Body>
    const Body *find(RecordKind kind, const std::string &name) const;

    Revision revision_ = 0;
    std::map<RecordKey, std::shared_ptr<const Record>> records_;
};

} // namespace cowsliphead
