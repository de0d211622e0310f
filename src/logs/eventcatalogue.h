#pragma once

#include <span>

#include "logs/logevent.h"

namespace cowsliphead
{

struct EventDescription;

/// All events in the order of their numbers. Thread safety: any thread.
std::span<const EventDescription> eventCatalogue();

/// Precondition: the event is in the catalogue, as a test checks. Thread safety: any thread.
const EventDescription &describeEvent(LogEvent event);

} // namespace cowsliphead
