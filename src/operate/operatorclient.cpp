#include "operate/operatorclient.h"

#include <functional>
#include <optional>
#include <vector>

#include "core/randomhex.h"
#include "duty/recordwriter.h"
#include "records/changecodec.h"
#include "records/parserecord.h"
#include "records/recordlog.h"
#include "records/recordlogkey.h"
#include "records/recordset.h"

namespace cowsliphead
{

namespace
{

constexpr int ChangeIdBytes = 16;
constexpr std::size_t PageSize = 500;

/// Runs the event loop until the call has been answered.
template <typename T>
Result<T> waitFor(EventLoop &loop, const std::function<void(StoreReply<T>)> &call)
{
    std::optional<Result<T>> answer;
    call([&](Result<T> result) {
        answer = std::move(result);
        loop.stop();
    });
    loop.run();
    return *answer;
}

} // namespace

OperatorClient::OperatorClient(const StoreSettings &settings)
    : store_(loop_, settings.host_, settings.port_, settings.timeout_)
{
}

tl::expected<Revision, InputError> OperatorClient::put(const std::string &text)
{
    const auto record = parseRecord(text);
    if (!record) {
        return tl::unexpected(record.error());
    }
    Change change;
    change.key_ = record->key_;
    change.text_ = text;
    const auto revision = append(std::move(change));
    if (!revision) {
        return tl::unexpected(InputError{ revision.error(), "the store", "an unconfirmed write", "a confirmed write" });
    }
    return *revision;
}

Result<Revision> OperatorClient::withdraw(const RecordKey &key)
{
    const auto current = records();
    if (!current) {
        return tl::unexpected(current.error());
    }
    if (!(*current)->find(key)) {
        return failure(ErrorCode::RecordUnknown);
    }
    Change change;
    change.action_ = ChangeAction::Withdraw;
    change.key_ = key;
    return append(std::move(change));
}

Result<RecordSnapshot> OperatorClient::records()
{
    RecordLog log;
    while (true) {
        const auto page = waitFor<std::vector<StoreEntry>>(
            loop_, [&](const StoreReply<std::vector<StoreEntry>> &reply) { store_.list(RecordLogPrefix, recordLogKey(log.revision()), PageSize, reply); });
        if (!page) {
            return tl::unexpected(page.error());
        }
        for (const auto &entry : *page) {
            if (const auto change = decodeChange(revisionFromLogKey(entry.key_), entry.value_)) {
                log.apply(*change);
            }
        }
        if (page->size() < PageSize) {
            return log.snapshot();
        }
    }
}

Result<Revision> OperatorClient::append(Change change)
{
    change.changeId_ = ChangeId(randomHex(ChangeIdBytes));
    RecordWriter writer(store_);
    return waitFor<Revision>(loop_, [&](const StoreReply<Revision> &reply) { writer.append(std::move(change), reply); });
}

} // namespace cowsliphead
