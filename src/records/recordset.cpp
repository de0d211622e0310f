#include "records/recordset.h"

#include "records/change.h"
#include "records/parserecord.h"

namespace cowsliphead
{

std::shared_ptr<const RecordSet> RecordSet::after(const Change &change) const
{
    auto next = std::make_shared<RecordSet>(*this);
    next->revision_ = change.revision_;
    if (change.action_ == ChangeAction::Withdraw) {
        next->records_.erase(change.key_);
        return next;
    }
    auto record = readStoredRecord(change.text_);
    if (record) {
        next->records_[change.key_] = std::make_shared<const Record>(std::move(*record));
    }
    return next;
}

Revision RecordSet::revision() const
{
    return revision_;
}

const AccountRecord *RecordSet::account(const AccountId &account) const
{
    return find<AccountRecord>(RecordKind::Account, account.value());
}

const KeyRecord *RecordSet::key(const KeyDigest &digest) const
{
    return find<KeyRecord>(RecordKind::Key, digest.value());
}

const ModelRecord *RecordSet::model(const ModelId &model) const
{
    return find<ModelRecord>(RecordKind::Model, model.value());
}

const EndpointRecord *RecordSet::endpoint(const EndpointId &endpoint) const
{
    return find<EndpointRecord>(RecordKind::Endpoint, endpoint.value());
}

const RouteRecord *RecordSet::routeFor(const std::string &path) const
{
    const RouteRecord *best = nullptr;
    for (const auto *route : allOf<RouteRecord>()) {
        const bool matches = path.starts_with(route->pathPrefix_);
        if (matches && (best == nullptr || route->pathPrefix_.size() > best->pathPrefix_.size())) {
            best = route;
        }
    }
    return best;
}

const PolicyRecord &RecordSet::policy() const
{
    static const PolicyRecord builtIn;
    const auto *written = find<PolicyRecord>(RecordKind::Policy, "default");
    return written == nullptr ? builtIn : *written;
}

const std::map<RecordKey, std::shared_ptr<const Record>> &RecordSet::all() const
{
    return records_;
}

template <typename Body>
const Body *RecordSet::find(RecordKind kind, const std::string &name) const
{
    const auto found = records_.find(RecordKey{ std::string(recordKindName(kind)), name });
    return found == records_.end() ? nullptr : std::get_if<Body>(&found->second->body_);
}

} // namespace cowsliphead
