#include "bench/bulkrecordwriter.h"

#include <utility>

#include "core/errorcode.h"
#include "core/randomhex.h"
#include "records/changecodec.h"
#include "records/parserecord.h"
#include "records/recordlogkey.h"

namespace cowsliphead
{

namespace
{

constexpr int ChangeIdBytes = 16;
constexpr std::size_t PageSize = 500;

} // namespace

BulkRecordWriter::BulkRecordWriter(const StoreSettings &settings)
    : store_(loop_, settings.host_, settings.port_, settings.timeout_)
    , writeTimer_(loop_, [this] { writeNext(); })
{
}

Result<Revision> BulkRecordWriter::write(std::vector<std::string> texts, std::chrono::microseconds pause)
{
    texts_ = std::move(texts);
    pauseBetweenWrites_ = pause;
    writtenCount_ = 0;
    findHead();
    loop_.run();
    return result_;
}

void BulkRecordWriter::findHead()
{
    store_.list(RecordLogPrefix, recordLogKey(head_), PageSize, [this](Result<std::vector<StoreEntry>> page) {
        if (!page) {
            end(tl::unexpected(page.error()));
            return;
        }
        if (!page->empty()) {
            head_ = revisionFromLogKey(page->back().key_);
        }
        if (page->size() == PageSize) {
            findHead();
        } else {
            writeNext();
        }
    });
}

void BulkRecordWriter::writeNext()
{
    if (writtenCount_ == texts_.size()) {
        end(head_);
        return;
    }
    const auto record = parseRecord(texts_[writtenCount_]);
    if (!record) {
        end(failure(ErrorCode::RecordMalformed));
        return;
    }
    Change change;
    change.changeId_ = ChangeId(randomHex(ChangeIdBytes));
    change.key_ = record->key_;
    change.text_ = texts_[writtenCount_];
    StoreWrite storeWrite;
    storeWrite.key_ = recordLogKey(head_ + 1);
    storeWrite.value_ = encodeChange(change);
    store_.compareAndSwap(storeWrite, [this](Result<StoreRevision> answer) {
        if (!answer) {
            end(tl::unexpected(answer.error()));
            return;
        }
        ++head_;
        ++writtenCount_;
        writeTimer_.startOnce(pauseBetweenWrites_);
    });
}

void BulkRecordWriter::end(const Result<Revision> &result)
{
    result_ = result;
    loop_.stop();
}

} // namespace cowsliphead
