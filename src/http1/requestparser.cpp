#include "http1/requestparser.h"

#include <algorithm>
#include <utility>

#include <http_parser.h>

namespace cowsliphead
{

namespace
{

/// Above any limit on heads that is in force. The limit that http_parser is built with is below what configurations may allow.
constexpr std::uint32_t ParserLimit = std::uint32_t(16) << 20U;

/// http_parser has one limit for the whole process, so it is set before any task starts.
const bool IsParserLimitSet = [] {
    http_parser_set_max_header_size(ParserLimit);
    return true;
}();

} // namespace

struct RequestParser::Callbacks {
    static RequestParser &owner(http_parser *parser)
    {
        return *static_cast<RequestParser *>(parser->data);
    }

    static int onTarget(http_parser *parser, const char *at, std::size_t length)
    {
        owner(parser).head_.target_.append(at, length);
        return 0;
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
        return 0;
    }

    static int onValue(http_parser *parser, const char *at, std::size_t length)
    {
        owner(parser).headers_.addValue({ at, length });
        return 0;
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
        owner(parser).isComplete_ = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings &settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings result{};
            result.on_message_begin = onBegin;
            result.on_url = onTarget;
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

RequestParser::RequestParser(RequestParserEvents events)
    : events_(std::move(events))
    , parser_(std::make_unique<http_parser>())
{
    http_parser_init(parser_.get(), HTTP_REQUEST);
    parser_->data = this;
}

RequestParser::~RequestParser() = default;

std::size_t RequestParser::headSize() const
{
    return headers_.size() + head_.target_.size();
}

bool RequestParser::finishHead()
{
    head_.method_ = http_method_str(static_cast<http_method>(parser_->method));
    head_.headers_ = headers_.takeHeaders();
    isStopped_ = !events_.onHead_(std::exchange(head_, {}));
    return !isStopped_;
}

/// Returns false if the bytes cannot be those of a head.
bool RequestParser::addToHead(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [this](char character) { return lines_.isEnded() || lines_.add(character); });
}

ParseOutcome RequestParser::parse(std::string_view bytes, std::size_t &consumed)
{
    consumed = 0;
    if (!addToHead(bytes)) {
        return ParseOutcome::Malformed;
    }
    consumed = http_parser_execute(parser_.get(), &Callbacks::settings(), bytes.data(), bytes.size());
    if (isStopped_) {
        return ParseOutcome::Stopped;
    }
    if (isComplete_) {
        isComplete_ = false;
        lines_ = {};
        const bool isUpgrade = parser_->upgrade != 0;
        http_parser_init(parser_.get(), HTTP_REQUEST);
        if (!events_.onComplete_()) {
            return ParseOutcome::Stopped;
        }
        return isUpgrade ? ParseOutcome::Malformed : ParseOutcome::Complete;
    }
    return HTTP_PARSER_ERRNO(parser_) == HPE_OK ? ParseOutcome::NeedsMore : ParseOutcome::Malformed;
}

} // namespace cowsliphead
