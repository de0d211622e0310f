#include "caller/tlscontext.h"

#include <openssl/ssl.h>

#include "caller/tlsfiles.h"
#include "core/errorcode.h"

namespace cowsliphead
{

Result<TlsContext> TlsContext::load(const TlsFiles &files)
{
    TlsContext loaded;
    loaded.context_.reset(SSL_CTX_new(TLS_server_method()));
    auto *context = loaded.handle();
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    const bool isLoaded = SSL_CTX_use_certificate_chain_file(context, files.certificate_.c_str()) == 1
        && SSL_CTX_use_PrivateKey_file(context, files.key_.c_str(), SSL_FILETYPE_PEM) == 1 && SSL_CTX_check_private_key(context) == 1;
    if (!isLoaded) {
        return failure(ErrorCode::TlsFilesUnusable);
    }
    return loaded;
}

SSL_CTX *TlsContext::handle() const
{
    return context_.get();
}

void TlsContext::FreeContext::operator()(SSL_CTX *context) const
{
    SSL_CTX_free(context);
}

} // namespace cowsliphead
