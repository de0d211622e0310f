#pragma once

#include <string>

#include "caller/tlsfiles.h"

namespace cowsliphead
{

/// A self-signed certificate and its key in files that go with the object.
class CertificateFiles
{
public:
    CertificateFiles();
    ~CertificateFiles();
    CertificateFiles(const CertificateFiles &) = delete;
    CertificateFiles &operator=(const CertificateFiles &) = delete;

    /// Writes a new key and a certificate for the name into the files.
    void write(const std::string &name) const;

    const TlsFiles &files() const;

private:
    std::string folder_;
    TlsFiles files_;
};

} // namespace cowsliphead
