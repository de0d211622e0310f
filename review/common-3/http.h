#pragma once

// Small blocking HTTP/1.1 server and client for the stand-ins of this review.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return std::tolower(character); });
    return text;
}

inline std::string headerOf(const Headers &headers, const std::string &name)
{
    for (const auto &[field, value] : headers) {
        if (lowered(field) == lowered(name)) {
            return value;
        }
    }
    return {};
}

struct Message {
    std::string first_; // request line or status line
    Headers headers_;
    std::string body_;

    std::string word(int index) const
    {
        std::size_t from = 0;
        for (int skipped = 0; skipped < index; ++skipped) {
            from = first_.find(' ', from);
            if (from == std::string::npos) {
                return {};
            }
            ++from;
        }
        return first_.substr(from, first_.find(' ', from) - from);
    }

    std::string header(const std::string &name) const
    {
        return headerOf(headers_, name);
    }
};

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
    return name;
}

// Opens a listening socket; port 0 takes a free port, which is written back.
inline int listenOn(const std::string &ip, std::uint16_t &port, int backlog = 256)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    auto name = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof name;
    getsockname(fd, reinterpret_cast<sockaddr *>(&name), &size);
    port = ntohs(name.sin_port);
    return fd;
}

// A connected socket with a read buffer.
class Channel
{
public:
    explicit Channel(int fd)
        : fd_(fd)
    {
        const int enabled = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }

    ~Channel()
    {
        close(fd_);
    }

    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // Reads a request or an answer. Nothing if the channel ended or the time is over.
    std::optional<Message> read(std::optional<std::chrono::milliseconds> limit = std::nullopt)
    {
        const auto end = std::chrono::steady_clock::now() + limit.value_or(std::chrono::hours(1));
        std::size_t headEnd = 0;
        while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end)) {
                return std::nullopt;
            }
        }
        Message message;
        std::size_t at = buffer_.find("\r\n");
        message.first_ = buffer_.substr(0, at);
        while (at < headEnd) {
            at += 2;
            const auto lineEnd = buffer_.find("\r\n", at);
            const auto colon = buffer_.find(':', at);
            auto value = buffer_.substr(colon + 1, lineEnd - colon - 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers_.emplace_back(buffer_.substr(at, colon - at), value);
            at = lineEnd;
        }
        buffer_.erase(0, headEnd + 4);
        if (lowered(message.header("Transfer-Encoding")) == "chunked") {
            return readChunks(std::move(message), end);
        }
        const auto size = static_cast<std::size_t>(std::strtoull(message.header("Content-Length").c_str(), nullptr, 10));
        while (buffer_.size() < size) {
            if (!fill(end)) {
                return std::nullopt;
            }
        }
        message.body_ = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return message;
    }

    int fd() const
    {
        return fd_;
    }

    // Ends the channel with a reset.
    void reset()
    {
        const linger option{ 1, 0 };
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        shutdown(fd_, SHUT_RDWR);
    }

private:
    std::optional<Message> readChunks(Message message, std::chrono::steady_clock::time_point end)
    {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(end)) {
                    return std::nullopt;
                }
            }
            const auto size = static_cast<std::size_t>(std::strtoull(buffer_.c_str(), nullptr, 16));
            while (buffer_.size() < lineEnd + 2 + size + 2) {
                if (!fill(end)) {
                    return std::nullopt;
                }
            }
            message.body_ += buffer_.substr(lineEnd + 2, size);
            buffer_.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                return message;
            }
        }
    }

    bool fill(std::chrono::steady_clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now()).count();
        pollfd waited{ fd_, POLLIN, 0 };
        if (left <= 0 || poll(&waited, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto count = recv(fd_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int fd_;
    std::string buffer_;
};

// Connects within the time limit; null if that fails.
inline std::unique_ptr<Channel> connectTo(const std::string &ip, std::uint16_t port, std::chrono::milliseconds limit)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto name = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0) {
        pollfd waited{ fd, POLLOUT, 0 };
        int error = 1;
        socklen_t size = sizeof error;
        if (poll(&waited, 1, static_cast<int>(limit.count())) > 0) {
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) {
            close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Channel>(fd);
}

inline std::string answerBytes(int status, const Headers &headers, const std::string &body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
    for (const auto &[name, value] : headers) {
        bytes += name + ": " + value + "\r\n";
    }
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts channels on one address and serves each in a thread of its own until the handler returns false.
class Server
{
public:
    using Handler = std::function<bool(Channel &, const Message &)>;

    Server(std::string ip, std::uint16_t port, Handler handler)
        : ip_(std::move(ip))
        , port_(port)
        , handler_(std::move(handler))
    {
        open();
    }

    std::uint16_t port() const
    {
        return port_;
    }

    const std::string &ip() const
    {
        return ip_;
    }

    // Stops listening and resets all channels.
    void crash()
    {
        stopListening();
        resetChannels();
    }

    // As crash(), but the port listens on with a full queue of new channels, as that of a server that starts and is overrun: the kernel drops
    // the opening packet of any further channel.
    void crashOverrun()
    {
        stopListening();
        fullListener_ = listenOn(ip_, port_, 0);
        for (int number = 0; number < 16; ++number) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            auto name = addressOf(ip_, port_);
            connect(fd, reinterpret_cast<sockaddr *>(&name), sizeof name);
            queued_.push_back(fd);
        }
        resetChannels();
    }

    // Listens again at the same port. Precondition: crash() was called.
    void open()
    {
        listener_ = listenOn(ip_, port_);
        isListening_ = true;
        std::thread([this, listener = listener_] { acceptAll(listener); }).detach();
    }

    // Serves again after crashOverrun().
    void openAfterOverrun()
    {
        for (const int fd : queued_) {
            close(fd);
        }
        queued_.clear();
        close(fullListener_);
        open();
    }

private:
    void stopListening()
    {
        shutdown(listener_, SHUT_RDWR);
        while (isListening_) {
            std::this_thread::sleep_for(std::chrono::microseconds(100));
        }
    }

    void resetChannels()
    {
        const std::lock_guard lock(mutex_);
        for (auto *channel : channels_) {
            channel->reset();
        }
    }

    void acceptAll(int listener)
    {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                close(listener);
                isListening_ = false;
                return;
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        Channel channel(fd);
        {
            const std::lock_guard lock(mutex_);
            channels_.insert(&channel);
        }
        while (const auto request = channel.read()) {
            if (!handler_(channel, *request)) {
                break;
            }
        }
        const std::lock_guard lock(mutex_);
        channels_.erase(&channel);
    }

    std::string ip_;
    std::uint16_t port_;
    Handler handler_;
    std::atomic<bool> isListening_ = false;
    std::mutex mutex_;
    int listener_ = -1;
    int fullListener_ = -1;
    std::vector<int> queued_;
    std::set<Channel *> channels_;
};

} // namespace review
