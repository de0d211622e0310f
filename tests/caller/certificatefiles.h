#pragma once

#include <string>

#include "caller/tlsfiles.h"

namespace cowsliphead
{

/// A self-signed certificate and its key in temporary files, which the destructor removes.
class CertificateFiles
{
public:
    CertificateFiles();
    ~CertificateFiles();
    CertificateFiles(const CertificateFiles &) = delete;
    CertificateFiles &operator=(const CertificateFiles &) = delete;

    /// Generates a key and a certificate with this common name, and replaces the files with them.
    void write(const std::string &name) const;

    const TlsFiles &files() const;

private:
    std::string folder_;
    TlsFiles files_;
};

} // namespace cowsliphead
