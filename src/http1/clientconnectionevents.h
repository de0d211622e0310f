#pragma once

#include <functional>
#include <string_view>

#include "http1/answerhandling.h"
#include "http1/connectionfailure.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// Callbacks for one request on a ClientConnection. The receiver may close the connection from within any of them.
struct ClientConnectionEvents {
    /// The connection is open. The receiver writes the request now or closes the connection.
    std::function<void()> onOpen_;
    std::function<AnswerHandling(const ResponseHead &)> onHead_;
    std::function<void(std::string_view)> onData_;
    std::function<void()> onComplete_;
    std::function<void(ConnectionFailure)> onFailed_;
};

} // namespace cowsliphead
