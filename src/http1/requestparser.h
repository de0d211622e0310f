#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "http1/headercollector.h"
#include "http1/parseoutcome.h"
#include "http1/requestparserevents.h"

struct http_parser;

namespace cowsliphead
{

/// Parses one request after the other from the bytes of a connection.
class RequestParser
{
public:
    /// Thread safety: owner task only.
    explicit RequestParser(RequestParserEvents events);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /// Parses up to the end of one message. taken tells how many bytes were used. Thread safety: owner task only.
    ParseOutcome parse(std::string_view bytes, std::size_t &taken);

    /// Bytes of the head that is being read. Thread safety: owner task only.
    std::size_t headSize() const;

private:
    struct Callbacks;

    bool finishHead();

    RequestParserEvents events_;
    std::unique_ptr<http_parser> parser_;
    RequestHead head_;
    HeaderCollector headers_;
    bool isComplete_ = false;
    bool isStopped_ = false;
};

} // namespace cowsliphead
