#include "http1/responseparser.h"

#include <limits>
#include <utility>

#include <http_parser.h>

#include "http/httpstatus.h"

namespace cowsliphead
{

struct ResponseParser::Callbacks {
    static ResponseParser &owner(http_parser *parser)
    {
        return *static_cast<ResponseParser *>(parser->data);
    }

    static int onReason(http_parser *parser, const char *at, std::size_t length)
    {
        owner(parser).head_.reason_.append(at, length);
        return owner(parser).isHeadTooLong() ? -1 : 0;
    }

    static int onBegin(http_parser *parser)
    {
        owner(parser).headers_.beginHead();
        return 0;
    }

    static int onName(http_parser *parser, const char *at, std::size_t length)
    {
        const std::string_view fragment(at, length);
        // The parser accepts blanks, and then does not know the field by its name.
        if (!hasOnlyNameCharacters(fragment)) {
            return -1;
        }
        owner(parser).headers_.addName(fragment);
        return owner(parser).isHeadTooLong() ? -1 : 0;
    }

    static int onValue(http_parser *parser, const char *at, std::size_t length)
    {
        owner(parser).headers_.addValue({ at, length });
        return owner(parser).isHeadTooLong() ? -1 : 0;
    }

    static int onHeadersComplete(http_parser *parser)
    {
        return owner(parser).finishHead() ? 0 : -1;
    }

    static int onBody(http_parser *parser, const char *at, std::size_t length)
    {
        auto &self = owner(parser);
        self.isStopped_ = !self.events_.onBody_({ at, length });
        return self.isStopped_ ? -1 : 0;
    }

    static int onComplete(http_parser *parser)
    {
        auto &self = owner(parser);
        self.isComplete_ = true;
        self.keepsAlive_ = http_should_keep_alive(parser) != 0;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings &settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings result{};
            result.on_message_begin = onBegin;
            result.on_status = onReason;
            result.on_header_field = onName;
            result.on_header_value = onValue;
            result.on_headers_complete = onHeadersComplete;
            result.on_body = onBody;
            result.on_message_complete = onComplete;
            return result;
        }();
        return table;
    }
};

ResponseParser::ResponseParser(ResponseParserEvents events)
    : events_(std::move(events))
    , parser_(std::make_unique<http_parser>())
{
    http_parser_init(parser_.get(), HTTP_RESPONSE);
    parser_->data = this;
}

ResponseParser::~ResponseParser() = default;

std::size_t ResponseParser::headMemory() const
{
    return headers_.memory() + head_.reason_.size();
}

bool ResponseParser::keepsAlive() const
{
    return keepsAlive_;
}

bool ResponseParser::isHeadTooLong() const
{
    return headers_.size() + head_.reason_.size() > MaxHeadBytes;
}

bool ResponseParser::finishHead()
{
    if (!httpstatus::isValid(parser_->status_code)) {
        return false;
    }
    head_.status_ = parser_->status_code;
    head_.headers_ = headers_.takeHeaders();
    const bool hasLength = parser_->content_length != std::numeric_limits<std::uint64_t>::max();
    if (hasLength && (parser_->flags & F_CHUNKED) == 0) {
        head_.contentLength_ = parser_->content_length;
    }
    isStopped_ = !events_.onHead_(std::exchange(head_, {}));
    return !isStopped_;
}

ParseOutcome ResponseParser::parse(std::string_view bytes, std::size_t &consumed)
{
    consumed = 0;
    check_.add(bytes);
    if (!check_.isValid()) {
        return ParseOutcome::Malformed;
    }
    consumed = http_parser_execute(parser_.get(), &Callbacks::settings(), bytes.data(), bytes.size());
    return outcome();
}

ParseOutcome ResponseParser::finish()
{
    http_parser_execute(parser_.get(), &Callbacks::settings(), nullptr, 0);
    return outcome();
}

ParseOutcome ResponseParser::outcome()
{
    if (isStopped_) {
        return ParseOutcome::Stopped;
    }
    if (isComplete_) {
        isComplete_ = false;
        check_ = {};
        http_parser_init(parser_.get(), HTTP_RESPONSE);
        return ParseOutcome::Complete;
    }
    return HTTP_PARSER_ERRNO(parser_) == HPE_OK ? ParseOutcome::NeedsMore : ParseOutcome::Malformed;
}

} // namespace cowsliphead
