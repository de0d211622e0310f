#include "relay/textdelta.h"

#include <memory>

#include <zstd.h>

#include "core/errorcode.h"

namespace cowsliphead::textdelta
{

namespace
{

constexpr int CompressionLevel = 1;

struct FreeCompressor {
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
};

struct FreeExpander {
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

} // namespace

std::string compress(std::string_view text, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress_usingDict(context.get(), bytes.data(), bytes.size(), text.data(), text.size(), base.data(), base.size(), CompressionLevel);
    bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return bytes;
}

Result<std::string> expand(std::string_view bytes, std::string_view base)
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > MaxTextBytes) {
        return failure(ErrorCode::CodecMalformed);
    }
    const std::unique_ptr<ZSTD_DCtx, FreeExpander> context(ZSTD_createDCtx());
    std::string text(static_cast<std::size_t>(size), '\0');
    const auto expanded = ZSTD_decompress_usingDict(context.get(), text.data(), text.size(), bytes.data(), bytes.size(), base.data(), base.size());
    if (ZSTD_isError(expanded) != 0 || expanded != text.size()) {
        return failure(ErrorCode::CodecMalformed);
    }
    return text;
}

} // namespace cowsliphead::textdelta
