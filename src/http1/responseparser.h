#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "http/responseheadcheck.h"
#include "http1/headercollector.h"
#include "http1/parseoutcome.h"
#include "http1/responseparserevents.h"

struct http_parser;

namespace cowsliphead
{

/// Incremental parser for the consecutive responses of a connection. Thread safety: owner task only.
class ResponseParser
{
public:
    explicit ResponseParser(ResponseParserEvents events);
    ~ResponseParser();
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /// Parses at most one message and sets consumed to the number of bytes that were used.
    ParseOutcome parse(std::string_view bytes, std::size_t &consumed);

    /// Handles an orderly end of the connection. Returns Complete if it ends a response without a length.
    ParseOutcome finish();

    /// Memory that the current head occupies so far, in bytes.
    std::size_t headMemory() const;

    /// True if the connection stays open after the message that was parsed last.
    bool keepsAlive() const;

private:
    struct Callbacks;

    /// Limits what a faulty server can make the reader hold.
    static constexpr std::size_t MaxHeadBytes = std::size_t(80) << 10U;

    bool isHeadTooLong() const;
    bool finishHead();
    ParseOutcome outcome();

    ResponseParserEvents events_;
    std::unique_ptr<http_parser> parser_;
    ResponseHead head_;
    ResponseHeadCheck check_;
    HeaderCollector headers_;
    bool isComplete_ = false;
    bool isStopped_ = false;
    bool keepsAlive_ = false;
};

} // namespace cowsliphead
