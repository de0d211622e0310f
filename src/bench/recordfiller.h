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

/// Writes many records one after the other, without an operator's search for the head of the log before each.
class RecordFiller
{
public:
    /// Precondition: nobody else writes records meanwhile. Thread safety: owner only.
    explicit RecordFiller(const StoreSettings &settings);

    /// Writes the records with a gap between one answer and the next write. Returns the last revision.
    /// Errors: StoreUnavailable, StoreConflict, RecordMalformed. Thread safety: owner only.
    Result<Revision> fill(std::vector<std::string> texts, std::chrono::microseconds gap);

private:
    void findHead();
    void writeNext();
    void end(Result<Revision> result);

    EventLoop loop_;
    HttpStore store_;
    Timer next_;
    std::vector<std::string> texts_;
    std::size_t written_ = 0;
    std::chrono::microseconds gap_{ 0 };
    Revision head_ = 0;
    Result<Revision> result_ = Revision(0);
};

} // namespace cowsliphead
