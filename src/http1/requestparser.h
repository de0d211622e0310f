#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "http/headlines.h"
#include "http1/headercollector.h"
#include "http1/parseoutcome.h"
#include "http1/requestparserevents.h"

struct http_parser;

namespace cowsliphead
{

/// Incremental parser for the consecutive requests of a connection. Thread safety: owner task only.
class RequestParser
{
public:
    explicit RequestParser(RequestParserEvents events);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /// Parses at most one message and sets consumed to the number of bytes that were used.
    ParseOutcome parse(std::string_view bytes, std::size_t &consumed);

    /// Bytes read so far of the current head.
    std::size_t headSize() const;

private:
    struct Callbacks;

    bool addToHead(std::string_view bytes);
    bool finishHead();

    RequestParserEvents events_;
    std::unique_ptr<http_parser> parser_;
    RequestHead head_;
    HeadLines lines_;
    HeaderCollector headers_;
    bool isComplete_ = false;
    bool isStopped_ = false;
};

} // namespace cowsliphead
