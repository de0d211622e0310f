#pragma once

#include <cstddef>
#include <string_view>

namespace cowsliphead
{

/// Finds where server-sent events end in a stream that arrives in pieces; looks at each byte once. An event ends with an empty line; lines end
/// with LF, CRLF or CR. Thread safety: as any value type.
class EventBoundary
{
public:
    /// Position after the end of the first event that ends in this piece, or npos. Zero if the event had ended with the piece before. The next
    /// call gets the bytes after that position, or the next piece.
    std::size_t find(std::string_view piece);

private:
    bool isLineEmpty_ = true;

    /// The last byte was a CR, and an LF may belong to it.
    bool isAfterCr_ = false;

    /// That CR ended an empty line, and so the event.
    bool isEndPending_ = false;

    /// The last line before ended with a CR alone.
    bool usesLoneCr_ = false;
};

} // namespace cowsliphead
