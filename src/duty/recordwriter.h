#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "core/errorcode.h"
#include "records/change.h"
#include "records/changecodec.h"
#include "records/recordlogkey.h"
#include "store/store.h"

namespace cowsliphead
{

/// Appends one change to the log of records. A write whose answer was lost is settled by reading the key back.
template <Store S>
class RecordWriter
{
public:
    using Done = std::function<void(Result<Revision>)>;

    /// Precondition: the store outlives the writer. Thread safety: the store's task only.
    explicit RecordWriter(S &store)
        : store_(store)
    {
    }

    /// Appends the change and answers with its revision. Precondition: the change has an identifier of its own, and no other
    /// append is under way. Errors: StoreUnavailable (it may have taken effect). Thread safety: the store's task only.
    void append(Change change, Done done)
    {
        change_ = std::move(change);
        done_ = std::move(done);
        attemptsLeft_ = MaxAttempts;
        findHead();
    }

private:
    static constexpr std::size_t PageSize = 500;
    static constexpr int MaxAttempts = 20;

    void findHead()
    {
        store_.list(RecordLogPrefix, recordLogKey(head_), PageSize, [this](Result<std::vector<StoreEntry>> answer) {
            if (!answer) {
                retryOrFail(answer.error());
                return;
            }
            for (const auto &entry : *answer) {
                head_ = revisionFromLogKey(entry.key_);
                if (isOwn(entry)) {
                    done_(head_);
                    return;
                }
            }
            if (answer->size() == PageSize) {
                findHead();
            } else {
                writeNext();
            }
        });
    }

    void writeNext()
    {
        StoreWrite write;
        write.key_ = recordLogKey(head_ + 1);
        write.value_ = encodeChange(change_);
        store_.compareAndSwap(write, [this](Result<StoreRevision> answer) {
            if (answer) {
                done_(head_ + 1);
            } else {
                // Another operator was faster, or the answer was lost: reading on from the head tells which.
                retryOrFail(answer.error());
            }
        });
    }

    void retryOrFail(std::error_code code)
    {
        const bool isWorthRetrying = code == ErrorCode::StoreConflict || code == ErrorCode::StoreUnavailable;
        if (!isWorthRetrying || --attemptsLeft_ <= 0) {
            done_(tl::unexpected(code));
            return;
        }
        findHead();
    }

    bool isOwn(const StoreEntry &entry) const
    {
        const auto found = decodeChange(head_, entry.value_);
        return found && found->changeId_ == change_.changeId_;
    }

    S &store_;
    Change change_;
    Done done_;
    Revision head_ = 0;
    int attemptsLeft_ = 0;
};

} // namespace cowsliphead
