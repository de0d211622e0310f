#pragma once

#include <memory>

#include <openssl/types.h>

#include "core/result.h"

namespace cowsliphead
{

struct TlsFiles;

/// A server's certificate and key, ready for connections. Connections that use it keep it alive.
class TlsContext
{
public:
    /// Errors: TlsFilesUnusable if the files cannot be read or do not belong together. Thread safety: any thread.
    static Result<TlsContext> load(const TlsFiles &files);

    /// OpenSSL's object. Thread safety: owner task only.
    SSL_CTX *handle() const;

private:
    struct FreeContext {
        void operator()(SSL_CTX *context) const;
    };

    std::unique_ptr<SSL_CTX, FreeContext> context_;
};

} // namespace cowsliphead
