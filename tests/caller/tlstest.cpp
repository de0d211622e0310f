#include <array>
#include <memory>
#include <variant>

#include <boost/test/unit_test.hpp>
#include <openssl/ssl.h>

#include "caller/callerexchange.h"
#include "caller/callerserver.h"
#include "caller/certificatefiles.h"
#include "core/errorcode.h"
#include "http/httprequest.h"
#include "task/listening.h"

using namespace cowsliphead;

namespace
{

/// A TLS server that answers every request with "hello" and reloads its certificate files on every message.
class HelloServer
{
public:
    using Message = std::monostate;

    HelloServer(EventLoop &loop, TlsFiles files)
        : files_(std::move(files))
        , server_(loop, {}, [](const HttpRequest &, const std::shared_ptr<CallerExchange> &exchange) { exchange->reply({}, "hello"); })
    {
    }

    Result<std::uint16_t> listen()
    {
        receive({});
        return server_.listen("127.0.0.1", 0);
    }

    void receive(Message /*message*/)
    {
        server_.useTls(std::move(*TlsContext::load(files_)));
    }

private:
    TlsFiles files_;
    CallerServer server_;
};

/// A client with one TLS connection.
class TlsClient
{
public:
    explicit TlsClient(std::uint16_t port)
        : context_(SSL_CTX_new(TLS_client_method()), &SSL_CTX_free)
        , connection_(BIO_new_ssl_connect(context_.get()), &BIO_free_all)
    {
        BIO_set_conn_hostname(connection_.get(), ("127.0.0.1:" + std::to_string(port)).c_str());
        isOpen_ = BIO_do_handshake(connection_.get()) == 1;
    }

    std::string serverCommonName() const
    {
        SSL *session = nullptr;
        BIO_get_ssl(connection_.get(), &session);
        if (!isOpen_) {
            return "no connection";
        }
        std::array<char, 64> name{};
        X509_NAME_get_text_by_NID(X509_get_subject_name(SSL_get0_peer_certificate(session)), NID_commonName, name.data(), name.size());
        return name.data();
    }

    std::string requestStatusLine()
    {
        BIO_puts(connection_.get(), "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
        std::string answer;
        std::array<char, 512> buffer{};
        while (!answer.ends_with("hello")) {
            const auto count = BIO_read(connection_.get(), buffer.data(), buffer.size());
            if (count <= 0) {
                return "cut";
            }
            answer.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return answer.substr(0, answer.find('\r'));
    }

private:
    std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context_;
    std::unique_ptr<BIO, decltype(&BIO_free_all)> connection_;
    bool isOpen_ = false;
};

struct Fixture {
    Fixture()
    {
        certificate_.write("first");
    }

    std::uint16_t start()
    {
        return *startListening(
            task_,
            [this](EventLoop &loop) { return std::make_unique<HelloServer>(loop, certificate_.files()); },
            [](HelloServer &server) { return server.listen(); });
    }

    CertificateFiles certificate_;
    Task<HelloServer> task_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_server_with_tls)

BOOST_FIXTURE_TEST_SUITE(whose_certificate_is_replaced, Fixture)

BOOST_AUTO_TEST_CASE(keeps_serving_open_connections_and_presents_the_new_certificate_to_new_ones)
{
    const auto port = start();
    TlsClient established(port);
    BOOST_TEST(established.serverCommonName() == "first");
    BOOST_TEST(established.requestStatusLine() == "HTTP/1.1 200 OK");
    certificate_.write("second");
    task_.send({});
    // The server handles the reload message in its own thread, so this request may be answered before or after the reload.
    BOOST_TEST(established.requestStatusLine() == "HTTP/1.1 200 OK");
    // New connections may get the old certificate until the server has reloaded, so connect repeatedly until the new one is presented.
    std::string name = TlsClient(port).serverCommonName();
    for (int attempt = 0; attempt < 1000 && name != "second"; ++attempt) {
        name = TlsClient(port).serverCommonName();
    }
    BOOST_TEST(name == "second");
    BOOST_TEST(established.requestStatusLine() == "HTTP/1.1 200 OK");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_files_are_unusable, Fixture)

BOOST_AUTO_TEST_CASE(reports_missing_files)
{
    const auto result = TlsContext::load({ "/nonexistent/chain.pem", "/nonexistent/key.pem" });
    BOOST_TEST(result.error() == ErrorCode::TlsFilesUnusable);
}

BOOST_AUTO_TEST_CASE(reports_a_key_that_does_not_match_the_certificate)
{
    CertificateFiles other;
    other.write("other");
    const auto result = TlsContext::load({ certificate_.files().certificate_, other.files().key_ });
    BOOST_TEST(result.error() == ErrorCode::TlsFilesUnusable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
