#include "bench/recordfiller.h"

#include <utility>

#include "core/errorcode.h"
#include "core/randomtext.h"
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

RecordFiller::RecordFiller(const StoreSettings &settings)
    : store_(loop_, settings.host_, settings.port_, settings.timeout_)
    , next_(loop_, [this] { writeNext(); })
{
}

Result<Revision> RecordFiller::fill(std::vector<std::string> texts, std::chrono::microseconds gap)
{
    texts_ = std::move(texts);
    gap_ = gap;
    written_ = 0;
    findHead();
    loop_.run();
    return result_;
}

void RecordFiller::findHead()
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

void RecordFiller::writeNext()
{
    if (written_ == texts_.size()) {
        end(head_);
        return;
    }
    const auto record = parseRecord(texts_[written_]);
    if (!record) {
        end(failure(ErrorCode::RecordMalformed));
        return;
    }
    Change change;
    change.changeId_ = ChangeId(randomHex(ChangeIdBytes));
    change.key_ = record->key_;
    change.text_ = texts_[written_];
    StoreWrite write;
    write.key_ = recordLogKey(head_ + 1);
    write.value_ = encodeChange(change);
    store_.compareAndSwap(write, [this](Result<StoreRevision> answer) {
        if (!answer) {
            end(tl::unexpected(answer.error()));
            return;
        }
        ++head_;
        ++written_;
        next_.startOnce(gap_);
    });
}

void RecordFiller::end(const Result<Revision> &result)
{
    result_ = result;
    loop_.stop();
}

} // namespace cowsliphead
