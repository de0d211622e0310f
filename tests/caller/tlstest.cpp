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

/// A server with TLS that greets each caller, and loads its files again for each message.
class Greeter
{
public:
    using Message = std::monostate;

    Greeter(EventLoop &loop, TlsFiles files)
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

/// A caller's connection over TLS.
class Caller
{
public:
    explicit Caller(std::uint16_t port)
        : context_(SSL_CTX_new(TLS_client_method()), &SSL_CTX_free)
        , connection_(BIO_new_ssl_connect(context_.get()), &BIO_free_all)
    {
        BIO_set_conn_hostname(connection_.get(), ("127.0.0.1:" + std::to_string(port)).c_str());
        isOpen_ = BIO_do_handshake(connection_.get()) == 1;
    }

    std::string nameOfServer() const
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

    std::string ask()
    {
        BIO_puts(connection_.get(), "GET / HTTP/1.1\r\nHost: test\r\n\r\n");
        std::string answer;
        std::array<char, 512> part{};
        while (!answer.ends_with("hello")) {
            const auto count = BIO_read(connection_.get(), part.data(), part.size());
            if (count <= 0) {
                return "cut";
            }
            answer.append(part.data(), static_cast<std::size_t>(count));
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
            [this](EventLoop &loop) { return std::make_unique<Greeter>(loop, certificate_.files()); },
            [](Greeter &greeter) { return greeter.listen(); });
    }

    CertificateFiles certificate_;
    Task<Greeter> task_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_server_with_tls)

BOOST_FIXTURE_TEST_SUITE(whose_certificate_is_replaced, Fixture)

BOOST_AUTO_TEST_CASE(serves_open_connections_on_and_shows_new_ones_the_new_certificate)
{
    const auto port = start();
    Caller early(port);
    BOOST_TEST(early.nameOfServer() == "first");
    BOOST_TEST(early.ask() == "HTTP/1.1 200 OK");
    certificate_.write("second");
    task_.send({});
    // The answer on the open connection comes after the message, which was posted before.
    BOOST_TEST(early.ask() == "HTTP/1.1 200 OK");
    std::string name = Caller(port).nameOfServer();
    for (int tries = 0; tries < 1000 && name != "second"; ++tries) {
        name = Caller(port).nameOfServer();
    }
    BOOST_TEST(name == "second");
    BOOST_TEST(early.ask() == "HTTP/1.1 200 OK");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(whose_files_are_unusable, Fixture)

BOOST_AUTO_TEST_CASE(tells_so_for_files_that_are_not_there)
{
    const auto loaded = TlsContext::load({ "/nonexistent/chain.pem", "/nonexistent/key.pem" });
    BOOST_TEST(loaded.error() == ErrorCode::TlsFilesUnusable);
}

BOOST_AUTO_TEST_CASE(tells_so_for_a_key_that_belongs_to_another_certificate)
{
    CertificateFiles other;
    other.write("other");
    const auto loaded = TlsContext::load({ certificate_.files().certificate_, other.files().key_ });
    BOOST_TEST(loaded.error() == ErrorCode::TlsFilesUnusable);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
