#pragma once

namespace cowsliphead
{

/// How the log's lines look.
enum class LogFormat {
    Text,
    Json,
};

} // namespace cowsliphead
