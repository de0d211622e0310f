#include "records/recordset.h"

#include "records/change.h"
#include "records/parserecord.h"

namespace cowsliphead
{

RecordSet::RecordSet()
    : endpoints_(std::make_shared<const EndpointIndex>())
    , routes_(std::make_shared<const RouteIndex>())
{
}

RecordSet::RecordSet(Revision revision, const std::vector<std::shared_ptr<const Record>> &records)
    : revision_(revision)
{
    for (const auto &record : records) {
        const auto &kind = record->key_.kind_;
        tables_[kind] = table(kind).with(record);
    }
    index(recordKindName(RecordKind::Endpoint));
    index(recordKindName(RecordKind::Route));
}

std::shared_ptr<const RecordSet> RecordSet::after(const Change &change) const
{
    auto next = std::make_shared<RecordSet>(*this);
    next->revision_ = change.revision_;
    const auto &kind = change.key_.kind_;
    if (change.action_ == ChangeAction::Withdraw) {
        next->tables_[kind] = table(kind).without(change.key_.name_);
        next->index(kind);
        return next;
    }
    auto record = parseStoredRecord(change.text_);
    if (record && record->key_ == change.key_) {
        next->tables_[kind] = table(kind).with(std::make_shared<const Record>(std::move(*record)));
        next->index(kind);
    }
    return next;
}

Revision RecordSet::revision() const
{
    return revision_;
}

const AccountRecord *RecordSet::account(const AccountId &account) const
{
    return findBody<AccountRecord>(account.value());
}

const KeyRecord *RecordSet::key(const KeyDigest &digest) const
{
    return findBody<KeyRecord>(digest.value());
}

const ModelRecord *RecordSet::model(const ModelId &model) const
{
    return findBody<ModelRecord>(model.value());
}

const EndpointRecord *RecordSet::endpoint(const EndpointId &endpoint) const
{
    return findBody<EndpointRecord>(endpoint.value());
}

const std::vector<const EndpointRecord *> &RecordSet::enginesOf(const ModelId &model) const
{
    return endpoints_->enginesOf(model);
}

const std::vector<const EndpointRecord *> &RecordSet::endpointsOf(const std::string &service) const
{
    return endpoints_->endpointsOf(service);
}

const RouteRecord *RecordSet::routeFor(const std::string &path) const
{
    return routes_->find(path);
}

const PolicyRecord &RecordSet::policy() const
{
    static const PolicyRecord builtIn;
    const auto *written = findBody<PolicyRecord>("default");
    return written == nullptr ? builtIn : *written;
}

std::shared_ptr<const Record> RecordSet::find(const RecordKey &key) const
{
    return table(key.kind_).find(key.name_);
}

RecordSet::RecordMap RecordSet::all() const
{
    RecordMap records;
    for (const auto &[kind, table] : tables_) {
        for (const auto &record : table->sorted()) {
            records.emplace(record->key_, record);
        }
    }
    return records;
}

template <typename Body>
const Body *RecordSet::findBody(const std::string &name) const
{
    const auto record = table(recordKindName(recordKindOf<Body>())).find(name);
    // The table owns the record, so that the pointer stays valid for the lifetime of this set.
    return record ? std::get_if<Body>(&record->body_) : nullptr;
}

const RecordTable &RecordSet::table(std::string_view kind) const
{
    static const RecordTable empty;
    const auto found = tables_.find(kind);
    return found == tables_.end() ? empty : *found->second;
}

void RecordSet::index(std::string_view kind)
{
    if (kind == recordKindName(RecordKind::Endpoint)) {
        endpoints_ = std::make_shared<const EndpointIndex>(table(kind).sorted());
    } else if (kind == recordKindName(RecordKind::Route)) {
        routes_ = std::make_shared<const RouteIndex>(table(kind).sorted());
    }
}

} // namespace cowsliphead
