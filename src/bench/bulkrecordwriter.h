#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "core/result.h"
#include "core/revision.h"
#include "store/httpstore.h"
#include "store/storesettings.h"
#include "task/eventloop.h"
#include "task/timer.h"

namespace cowsliphead
{

/// Writes many records one after the other. Searches for the head of the record log once, not before each write as an operator's command does.
/// Thread safety: owner only.
class BulkRecordWriter
{
public:
    /// Precondition: nothing else writes records at the same time.
    explicit BulkRecordWriter(const StoreSettings &settings);

    /// Writes the records, with the given pause between an answer and the next write. Returns the last revision.
    /// Errors: StoreUnavailable, StoreConflict, RecordMalformed.
    Result<Revision> write(std::vector<std::string> texts, std::chrono::microseconds pause);

private:
    void findHead();
    void writeNext();
    void end(const Result<Revision> &result);

    EventLoop loop_;
    HttpStore store_;
    Timer writeTimer_;
    std::vector<std::string> texts_;
    std::size_t writtenCount_ = 0;
    std::chrono::microseconds pauseBetweenWrites_{ 0 };
    Revision head_ = 0;
    Result<Revision> result_ = Revision(0);
};

} // namespace cowsliphead
