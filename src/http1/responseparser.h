#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "http1/headercollector.h"
#include "http1/parseoutcome.h"
#include "http1/responseparserevents.h"

struct http_parser;

namespace cowsliphead
{

/// Parses one response after the other from the bytes of a connection.
class ResponseParser
{
public:
    /// Thread safety: owner task only.
    explicit ResponseParser(ResponseParserEvents events);
    ~ResponseParser();
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /// Parses up to the end of one message. taken tells how many bytes were used. Thread safety: owner task only.
    ParseOutcome parse(std::string_view bytes, std::size_t &taken);

    /// The connection has ended cleanly. Complete if that ends a response without a length. Thread safety: owner task only.
    ParseOutcome finish();

    /// True if the message that was parsed last allows another one on its connection. Thread safety: owner task only.
    bool keepsAlive() const;

private:
    struct Callbacks;

    bool finishHead();
    ParseOutcome outcome();

    ResponseParserEvents events_;
    std::unique_ptr<http_parser> parser_;
    ResponseHead head_;
    HeaderCollector headers_;
    bool isComplete_ = false;
    bool isStopped_ = false;
    bool keepsAlive_ = false;
};

} // namespace cowsliphead
