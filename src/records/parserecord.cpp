#include "records/parserecord.h"

#include <limits>

#include <nlohmann/json.hpp>

#include "records/fieldreader.h"
#include "records/jsontext.h"
#include "records/recordkind.h"

namespace cowsliphead
{

namespace
{

constexpr std::uint64_t LargestCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t LargestPort = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t LargestPercent = 100;

std::vector<ModelId> modelIds(const std::vector<std::string> &names)
{
    std::vector<ModelId> models;
    models.reserve(names.size());
    for (const auto &name : names) {
        models.emplace_back(name);
    }
    return models;
}

RecordBody readAccount(FieldReader &fields, const std::string &name)
{
    AccountRecord record;
    record.account_ = AccountId(name);
    record.weight_ = static_cast<std::uint32_t>(fields.numberOr("weight", record.weight_, 1, LargestCount));
    record.maxConcurrentRequests_ = static_cast<std::uint32_t>(fields.numberOr("maxConcurrentRequests", 0, 0, LargestCount));
    record.maxStaleness_ = fields.millisecondsOr("maxStalenessMs", record.maxStaleness_);
    record.models_ = modelIds(fields.texts("models"));
    return record;
}

RecordBody readKey(FieldReader &fields, const std::string &name)
{
    constexpr std::size_t DigestDigits = 64;
    KeyRecord record;
    record.digest_ = KeyDigest(name);
    record.account_ = AccountId(fields.text("account"));
    if (name.size() != DigestDigits || name.find_first_not_of("0123456789abcdef") != std::string::npos) {
        fields.report("name", name, "the key's SHA-256 digest in lower-case hexadecimal digits");
    }
    return record;
}

RecordBody readModel(FieldReader &fields, const std::string &name)
{
    ModelRecord record;
    record.model_ = ModelId(name);
    record.version_ = fields.textOr("version", "1");
    return record;
}

RecordBody readAdapter(FieldReader &fields, const std::string &name)
{
    AdapterRecord record;
    record.adapter_ = name;
    record.model_ = ModelId(fields.text("model"));
    record.version_ = fields.textOr("version", "1");
    return record;
}

EndpointKind readEndpointKind(FieldReader &fields)
{
    const auto name = fields.textOr("serves", "engine");
    if (name == "service") {
        return EndpointKind::Service;
    }
    if (name != "engine") {
        fields.report("serves", name, "engine or service");
    }
    return EndpointKind::Engine;
}

RecordBody readEndpoint(FieldReader &fields, const std::string &name)
{
    EndpointRecord record;
    record.endpoint_ = EndpointId(name);
    record.kind_ = readEndpointKind(fields);
    record.host_ = fields.text("host");
    record.port_ = static_cast<std::uint16_t>(fields.numberOr("port", 0, 1, LargestPort));
    record.failureDomain_ = FailureDomain(fields.text("failureDomain"));
    record.models_ = modelIds(fields.texts("models"));
    record.service_ = fields.textOr("service", {});
    record.credential_ = fields.textOr("credential", {});
    record.checksFencing_ = fields.flagOr("checksFencing", false);
    record.isPreemptible_ = fields.flagOr("preemptible", false);
    record.isDraining_ = fields.flagOr("draining", false);
    record.slots_ = static_cast<std::uint32_t>(fields.numberOr("slots", record.slots_, 1, LargestCount));
    if (record.port_ == 0) {
        fields.report("port", "nothing", "a port number");
    }
    if (record.kind_ == EndpointKind::Service && record.service_.empty()) {
        fields.report("service", "nothing", "the name of the service");
    }
    return record;
}

RecordBody readRoute(FieldReader &fields, const std::string &name)
{
    RouteRecord record;
    record.route_ = name;
    record.pathPrefix_ = fields.text("pathPrefix");
    record.service_ = fields.text("service");
    record.isOpen_ = fields.flagOr("open", false);
    record.isIdempotent_ = fields.flagOr("idempotent", false);
    record.timeout_ = fields.millisecondsOr("timeoutMs", record.timeout_);
    if (!record.pathPrefix_.empty() && record.pathPrefix_.front() != '/') {
        fields.report("pathPrefix", record.pathPrefix_, "a path that starts with /");
    }
    return record;
}

RecordBody readPolicy(FieldReader &fields, const std::string &name)
{
    PolicyRecord record;
    record.policy_ = name;
    record.maxAttempts_ = static_cast<std::uint32_t>(fields.numberOr("maxAttempts", record.maxAttempts_, 1, LargestCount));
    record.retryPercent_ = static_cast<std::uint32_t>(fields.numberOr("retryPercent", record.retryPercent_, 0, LargestPercent));
    record.firstTokenTimeout_ = fields.millisecondsOr("firstTokenTimeoutMs", record.firstTokenTimeout_);
    record.betweenTokensTimeout_ = fields.millisecondsOr("betweenTokensTimeoutMs", record.betweenTokensTimeout_);
    record.requestDeadline_ = fields.millisecondsOr("requestDeadlineMs", record.requestDeadline_);
    return record;
}

RecordBody readPool(FieldReader &fields, const std::string &name)
{
    PoolRecord record;
    record.pool_ = name;
    record.model_ = ModelId(fields.text("model"));
    record.failureDomain_ = FailureDomain(fields.text("failureDomain"));
    record.minimum_ = static_cast<std::uint32_t>(fields.numberOr("minimum", 0, 0, LargestCount));
    record.maximum_ = static_cast<std::uint32_t>(fields.numberOr("maximum", record.minimum_, record.minimum_, LargestCount));
    record.isPreemptible_ = fields.flagOr("preemptible", false);
    return record;
}

RecordBody readBody(RecordKind kind, FieldReader &fields, const std::string &name)
{
    switch (kind) {
    case RecordKind::Account:
        return readAccount(fields, name);
    case RecordKind::Key:
        return readKey(fields, name);
    case RecordKind::Model:
        return readModel(fields, name);
    case RecordKind::Adapter:
        return readAdapter(fields, name);
    case RecordKind::Endpoint:
        return readEndpoint(fields, name);
    case RecordKind::Route:
        return readRoute(fields, name);
    case RecordKind::Policy:
        return readPolicy(fields, name);
    case RecordKind::Pool:
        return readPool(fields, name);
    }
    return {};
}

/// Reads kind, name and schema, which records of every schema version have.
Record readHeader(FieldReader &fields, const std::string &text)
{
    Record record;
    record.key_.kind_ = fields.text("kind");
    record.key_.name_ = fields.text("name");
    record.schema_ = static_cast<int>(fields.numberOr("schema", CurrentSchema, 1, LargestCount));
    record.text_ = text;
    return record;
}

InputError unknownSchema(int found)
{
    return { make_error_code(ErrorCode::RecordSchemaUnknown),
             "/schema",
             std::to_string(found),
             "a version from " + std::to_string(OldestSchema) + " to " + std::to_string(CurrentSchema) };
}

} // namespace

tl::expected<Record, InputError> parseRecord(const std::string &text)
{
    const auto document = parseJsonText(text, ErrorCode::RecordMalformed);
    if (!document) {
        return tl::unexpected(document.error());
    }
    FieldReader fields(*document, {}, ErrorCode::RecordMalformed);
    auto record = readHeader(fields, text);
    const auto kind = recordKindFromName(record.key_.kind_);
    if (!kind) {
        fields.report("kind", record.key_.kind_, "account, key, model, adapter, endpoint, route, policy or pool");
    }
    if (fields.firstError()) {
        return tl::unexpected(*fields.firstError());
    }
    if (record.schema_ < OldestSchema || record.schema_ > CurrentSchema) {
        return tl::unexpected(unknownSchema(record.schema_));
    }
    record.body_ = readBody(*kind, fields, record.key_.name_);
    fields.refuseUnknownFields();
    if (fields.firstError()) {
        return tl::unexpected(*fields.firstError());
    }
    return record;
}

tl::expected<Record, InputError> parseStoredRecord(const std::string &text)
{
    const auto document = parseJsonText(text, ErrorCode::RecordMalformed);
    if (!document) {
        return tl::unexpected(document.error());
    }
    FieldReader header(*document, {}, ErrorCode::RecordMalformed);
    auto record = readHeader(header, text);
    if (header.firstError()) {
        return tl::unexpected(*header.firstError());
    }
    const auto kind = recordKindFromName(record.key_.kind_);
    if (!kind || record.schema_ > CurrentSchema) {
        return record;
    }
    FieldReader fields(*document, {}, ErrorCode::RecordMalformed);
    auto body = readBody(*kind, fields, record.key_.name_);
    if (!fields.firstError()) {
        record.body_ = std::move(body);
    }
    return record;
}

} // namespace cowsliphead
