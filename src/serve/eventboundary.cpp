#include "serve/eventboundary.h"

#include <utility>

#include "serve/eventtext.h"

namespace cowsliphead
{

std::size_t EventBoundary::find(std::string_view piece)
{
    for (std::size_t at = 0; at < piece.size();) {
        const bool isLf = piece[at] == '\n';
        const bool isCr = piece[at] == '\r';
        if (std::exchange(isAfterCr_, false)) {
            usesLoneCr_ = !isLf;
            at += isLf ? 1 : 0;
            if (std::exchange(isEndPending_, false)) {
                return at;
            }
            if (isLf) {
                continue;
            }
        }
        if (!isLf && !isCr) {
            isLineEmpty_ = false;
            at = eventtext::findLineEnd(piece, at);
            continue;
        }
        ++at;
        const bool isEnd = std::exchange(isLineEmpty_, true);
        if (isEnd && (isLf || usesLoneCr_)) {
            return at;
        }
        isAfterCr_ = isCr;
        isEndPending_ = isEnd;
    }
    return std::string_view::npos;
}

} // namespace cowsliphead
