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

/// All records in force at one revision. It never changes; a change gives a new set that shares what is unchanged.
/// What a request needs is indexed, so that its cost does not grow with the accounts.
class RecordSet
{
public:
    using RecordMap = std::map<RecordKey, std::shared_ptr<const Record>>;

    RecordSet();
    /// The set of a whole snapshot. Thread safety: any thread.
    RecordSet(Revision revision, const std::vector<std::shared_ptr<const Record>> &records);

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
    /// The engines of the model, draining ones included. Thread safety: any thread.
    const std::vector<const EndpointRecord *> &enginesOf(const ModelId &model) const;
    /// The endpoints of the plain service, draining ones included. Thread safety: any thread.
    const std::vector<const EndpointRecord *> &endpointsOf(const std::string &service) const;
    /// The route with the longest prefix of the path; null if there is none. Thread safety: any thread.
    const RouteRecord *routeFor(const std::string &path) const;
    /// The policy named "default", or the built-in one. Thread safety: any thread.
    const PolicyRecord &policy() const;
    /// Null if there is none in force, whether this program understands it or not. Thread safety: any thread.
    std::shared_ptr<const Record> find(const RecordKey &key) const;
    /// All records by kind and name; for operators, not for requests. Thread safety: any thread.
    RecordMap all() const;
    /// All records of one type, by name; its cost grows with their number. Thread safety: any thread.
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
