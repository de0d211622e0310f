#pragma once

#include <map>
#include <memory>
#include <vector>

#include "core/revision.h"
#include "records/endpointindex.h"
#include "records/record.h"
#include "records/recordkey.h"
#include "records/recordkind.h"
#include "records/recordkindof.h"
#include "records/recordtable.h"
#include "records/routeindex.h"

namespace cowsliphead
{

struct Change;

/// All records in force at one revision. Immutable: a change gives a new set that shares the unchanged records.
/// The look-ups for a request are indexed, so that their cost does not grow with the number of accounts. Thread safety: any thread.
class RecordSet
{
public:
    using RecordMap = std::map<RecordKey, std::shared_ptr<const Record>>;

    RecordSet();
    /// Builds the set from the records of a complete snapshot.
    RecordSet(Revision revision, const std::vector<std::shared_ptr<const Record>> &records);

    /// The set after the change. Precondition: the change's revision is the next one.
    std::shared_ptr<const RecordSet> after(const Change &change) const;

    Revision revision() const;
    /// Null if there is none in force.
    const AccountRecord *account(const AccountId &account) const;
    /// Null if there is none in force.
    const KeyRecord *key(const KeyDigest &digest) const;
    /// Null if there is none in force.
    const ModelRecord *model(const ModelId &model) const;
    /// Null if there is none in force.
    const EndpointRecord *endpoint(const EndpointId &endpoint) const;
    /// The engines of the model, draining ones included.
    const std::vector<const EndpointRecord *> &enginesOf(const ModelId &model) const;
    /// The endpoints of the plain service, draining ones included.
    const std::vector<const EndpointRecord *> &endpointsOf(const std::string &service) const;
    /// The route with the longest prefix of the path; null if there is none.
    const RouteRecord *routeFor(const std::string &path) const;
    /// The policy named "default", or the built-in one.
    const PolicyRecord &policy() const;
    /// The record with this key, even if this program could not parse its content; null if there is none in force.
    std::shared_ptr<const Record> find(const RecordKey &key) const;
    /// All records by kind and name. Copies all of them, so it is not for use on the request path.
    RecordMap all() const;
    /// All records of one type, sorted by name. The cost grows with their number.
    template <typename Body>
    std::vector<const Body *> allOf() const
    {
        std::vector<const Body *> found;
        for (const auto &record : table(recordKindName(recordKindOf<Body>())).sorted()) {
            if (const auto *body = std::get_if<Body>(&record->body_)) {
                found.push_back(body);
            }
        }
        return found;
    }

private:
    using Tables = std::map<std::string, std::shared_ptr<const RecordTable>, std::less<>>;

    template <typename Body>
    const Body *findBody(const std::string &name) const;
    const RecordTable &table(std::string_view kind) const;
    void index(std::string_view kind);

    Revision revision_ = 0;
    Tables tables_;
    std::shared_ptr<const EndpointIndex> endpoints_;
    std::shared_ptr<const RouteIndex> routes_;
};

} // namespace cowsliphead
