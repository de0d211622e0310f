#pragma once

#include <functional>
#include <string_view>

#include "http1/answerhandling.h"
#include "http1/connectionfailure.h"
#include "http1/responsehead.h"

namespace cowsliphead
{

/// What happens to a request on a connection to a server. The receiver may close the connection from within any of them.
struct ClientConnectionEvents {
    /// The connection is open: the request is to be written now, or the connection closed.
    std::function<void()> onOpen_;
    std::function<AnswerHandling(const ResponseHead &)> onHead_;
    std::function<void(std::string_view)> onData_;
    std::function<void()> onComplete_;
    std::function<void(ConnectionFailure)> onFailed_;
};

} // namespace cowsliphead
