#include "serve/endswithdoneevent.h"

#include "serve/eventtext.h"

namespace cowsliphead
{

bool EndsWithDoneEvent::isLast(std::string_view event)
{
    return eventtext::firstData(event) == "[DONE]";
}

} // namespace cowsliphead
