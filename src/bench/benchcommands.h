#pragma once

namespace cowsliphead::benchcommands
{

/// Sends a load to targets on the loopback address and prints what was measured. Returns an exit code.
int load(int argc, char **argv);

/// Writes many records. Returns an exit code.
int fill(int argc, char **argv);

/// Measures how long changes take until they are in force at all daemons. Returns an exit code.
int spread(int argc, char **argv);

/// Prints what processes use, at once or over a while. Returns an exit code.
int usage(int argc, char **argv);

/// Fits the slopes of measured points and prints all as JSON. Returns an exit code.
int summary(int argc, char **argv);

} // namespace cowsliphead::benchcommands
