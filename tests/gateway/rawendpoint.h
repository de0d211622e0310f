#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http1/buffereventdeleter.h"
#include "http1/listener.h"
#include "task/eventloop.h"
#include "task/timer.h"

/// An endpoint that answers each request with the given bytes, which need not be valid HTTP.
class RawEndpoint
{
public:
    /// The response to one request.
    struct Script {
        /// "ID" is replaced by the request's attempt identifier.
        std::string bytes_;
        bool closesConnection_ = false;

        /// Sent after a pause, and before the end of the connection.
        std::string laterBytes_ = {};
        std::chrono::milliseconds pause_{ 0 };

        /// Closes all connections and refuses new ones after the bytes.
        bool crashes_ = false;

        /// Starts again right after it has crashed, as this incarnation.
        std::optional<std::uint64_t> restartsAs_ = std::nullopt;

        /// Crashes in the middle of the answer to a request that contains this text. Empty for none.
        std::string crashesOn_ = {};

        /// Sent again and again after the other bytes, until the gateway closes the connection.
        std::string endlessBytes_ = {};

        /// Resets the connection after the bytes.
        bool resetsConnection_ = false;

        /// Answers only once this many bytes of the request have arrived.
        std::size_t awaitedBytes_ = 0;

        /// Reads nothing after the first bytes of the request.
        bool stopsReading_ = false;

        /// Ends its own direction of the connection after the bytes, in order, before it closes the connection, if it does.
        bool shutsDownWriting_ = false;
    };

    /// idField: the header field that holds the identifier of an attempt.
    RawEndpoint(cowsliphead::EventLoop &loop, std::vector<Script> scripts, const std::string &idField = "X-Attempt-Id");
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    /// From now on the endpoint says of itself that it is this incarnation, when it is asked for its state.
    void setIncarnation(std::uint64_t incarnation)
    {
        incarnation_ = incarnation;
    }

    /// Accepts connections again, at the same address. Precondition: the endpoint has crashed.
    void restart(std::uint64_t incarnation);

    /// True between a crash and the next start.
    bool hasCrashed() const
    {
        return !listener_;
    }

    std::uint16_t port() const
    {
        return port_;
    }

    /// The bytes of each request received, without those for the state of the endpoint.
    const std::vector<std::string> &requests() const
    {
        return requests_;
    }

    /// Connections that the gateway has closed.
    int closedConnections() const
    {
        return closedConnections_;
    }

private:
    static void onReadable(bufferevent *events, void *self);
    static void onWritten(bufferevent *events, void *self);
    static void onWrittenBeforeReset(bufferevent *events, void *self);
    static void onWrittenBeforeShutdown(bufferevent *events, void *self);
    static void onWrittenBeforeShutdownAndClose(bufferevent *events, void *self);
    static void onDrained(bufferevent *events, void *self);
    static void onEvent(bufferevent *events, short what, void *self);

    void accept(int socket);
    void listen(std::uint16_t port);
    void crash(std::optional<std::uint64_t> restartsAs);
    bool answerStateRequest(bufferevent *events, const std::string &request);
    void answer(bufferevent *events, const std::string &request);
    void endWhenWritten(bufferevent *events, const Script &script);

    cowsliphead::EventLoop &loop_;
    std::vector<Script> scripts_;
    std::string idField_;
    std::vector<std::string> requests_;
    std::map<bufferevent *, std::unique_ptr<bufferevent, cowsliphead::BufferEventDeleter>> connections_;
    std::map<bufferevent *, std::string> endlessBytes_;
    std::vector<std::unique_ptr<cowsliphead::Timer>> pendingWrites_;
    std::optional<cowsliphead::Listener> listener_;
    std::uint16_t port_ = 0;
    std::optional<std::uint64_t> incarnation_;
    int closedConnections_ = 0;
};
