#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "gateway/rawendpoint.h"

/// Answers of servers in trouble that no reader may take for an answer.
namespace cowsliphead::brokenanswers
{

using Answers = std::vector<RawEndpoint::Script>;

/// A size in bytes, more than the kernel buffers for a server that does not read.
constexpr std::size_t LongUpload = std::size_t{ 16 } << 20U;

/// An answer with a body of known length. fields: the other lines of its head.
inline std::string wholeAnswer(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + " Reason\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Whole answers but for their status.
inline Answers withInvalidStatus(const std::string &fields, const std::string &body)
{
    Answers answers;
    for (const auto *status : { "000", "001", "099", "600", "999" }) {
        answers.push_back({ wholeAnswer(status, fields, body) });
    }
    return answers;
}

/// Whole answers but for the name of a field, which holds a byte that no name may hold.
inline Answers withInvalidFieldName(const std::string &fields, const std::string &body)
{
    Answers answers;
    for (const auto *name : { " Content-Length",
                              "Content Length",
                              "Content-Length ",
                              "Content-Length\t",
                              "Content\x01-Length",
                              "\x1f",
                              "Content\x7fName",
                              "Content(Length",
                              "Content\x80" }) {
        auto lines = fields;
        lines.append(name).append(": 2\r\n");
        answers.push_back({ wholeAnswer("200", lines, body) });
    }
    return answers;
}

/// Whole answers but for a line of their head: of another version, with a status of other than three digits, with a control character, or folded.
inline Answers withInvalidHeadLine(const std::string &fields, const std::string &body)
{
    Answers answers;
    const auto rest = fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (const auto *line : { "HTTP/2.7 200 OK",
                              "HTTP/1.2 200 OK",
                              "HTTP/0.9 200 OK",
                              "HTTP/01.1 200 OK",
                              "HTTP/1.1 0200 OK",
                              "HTTP/1.1 200x OK",
                              "HTTP/1.1 2000 OK",
                              "HTTP/1.1  200 OK",
                              "HTTP/1.1 200 O\x01K",
                              "HTTP/1.1 200 O\x7fK",
                              "HTTP/1.1 200 \x1b[2J" }) {
        answers.push_back({ std::string(line) + "\r\n" + rest });
    }
    for (const auto &line : { std::string("Other: a\x01z"), std::string("Other: a\0z", 10), std::string("Other: a\r\n z"), std::string("Other: a\nMore: z") }) {
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        bytes.append(line).append("\r\n").append(rest);
        answers.push_back({ std::move(bytes) });
    }
    return answers;
}

/// These bytes, cut off in each way in which a server that has not read its request may end the connection.
inline Answers cutOff(const std::string &bytes)
{
    return {
        { .bytes_ = bytes, .resetsConnection_ = true, .stopsReading_ = true },
        { .bytes_ = bytes, .closesConnection_ = true, .stopsReading_ = true },
        { .bytes_ = bytes, .stopsReading_ = true, .shutsDownWriting_ = true },
        { .bytes_ = bytes, .closesConnection_ = true, .stopsReading_ = true, .shutsDownWriting_ = true },
    };
}

/// For BOOST_TEST_CONTEXT: what tells one broken answer from another.
inline std::string describe(const RawEndpoint::Script &answer)
{
    return answer.bytes_ + (answer.resetsConnection_ ? " reset" : "") + (answer.shutsDownWriting_ ? " ended" : "")
        + (answer.closesConnection_ ? " closed" : "");
}

} // namespace cowsliphead::brokenanswers
