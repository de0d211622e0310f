#include "caller/certificatefiles.h"

#include <cstdio>
#include <cstdlib>
#include <memory>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <unistd.h>

namespace cowsliphead
{

namespace
{

constexpr long SecondsPerDay = 86400;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<FILE, decltype(&fclose)>;

Certificate createSelfSigned(EVP_PKEY *key, const std::string &name)
{
    Certificate certificate(X509_new(), &X509_free);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -SecondsPerDay);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), SecondsPerDay);
    X509_set_pubkey(certificate.get(), key);
    auto *subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), subject);
    X509_sign(certificate.get(), key, EVP_sha256());
    return certificate;
}

} // namespace

CertificateFiles::CertificateFiles()
{
    std::string pattern = "/tmp/cowsliphead-test-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    files_ = { folder_ + "/chain.pem", folder_ + "/key.pem" };
}

CertificateFiles::~CertificateFiles()
{
    unlink(files_.certificate_.c_str());
    unlink(files_.key_.c_str());
    rmdir(folder_.c_str());
}

void CertificateFiles::write(const std::string &name) const
{
    const Key key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    const auto certificate = createSelfSigned(key.get(), name);
    const File certificateFile(fopen(files_.certificate_.c_str(), "w"), &fclose);
    PEM_write_X509(certificateFile.get(), certificate.get());
    const File keyFile(fopen(files_.key_.c_str(), "w"), &fclose);
    PEM_write_PrivateKey(keyFile.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
}

const TlsFiles &CertificateFiles::files() const
{
    return files_;
}

} // namespace cowsliphead
