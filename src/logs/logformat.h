#pragma once

namespace cowsliphead
{

/// The format of the log's lines.
enum class LogFormat {
    Text,
    Json,
};

} // namespace cowsliphead
