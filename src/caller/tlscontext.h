#pragma once

#include <memory>

#include <openssl/types.h>

#include "core/result.h"

namespace cowsliphead
{

struct TlsFiles;

/// The certificate and key of a TLS server. Connections hold a reference to the underlying SSL_CTX.
class TlsContext
{
public:
    /// Errors: TlsFilesUnusable if the files cannot be read or the key does not match the certificate. Thread safety: any thread.
    static Result<TlsContext> load(const TlsFiles &files);

    /// The OpenSSL context, which stays owned by this object. Thread safety: call only from the owning task.
    SSL_CTX *handle() const;

private:
    struct FreeContext {
        void operator()(SSL_CTX *context) const;
    };

    std::unique_ptr<SSL_CTX, FreeContext> context_;
};

} // namespace cowsliphead
