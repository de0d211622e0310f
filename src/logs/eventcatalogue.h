#pragma once

#include <span>

#include "logs/logevent.h"

namespace cowsliphead
{

struct EventDescription;

/// The descriptions of all events in ascending order of number. Thread safety: any thread.
std::span<const EventDescription> eventCatalogue();

/// The description of an event. Precondition: the event is in the catalogue, as a test checks. Thread safety: any thread.
const EventDescription &describeEvent(LogEvent event);

} // namespace cowsliphead
