#pragma once

namespace cowsliphead::benchcommands
{

/// Sends a load to targets on the loopback address and prints the measured values. Returns an exit code.
int load(int argc, char **argv);

/// Writes many records to the store. Returns an exit code.
int fill(int argc, char **argv);

/// Measures how long changes to records take to come into force at all daemons. Returns an exit code.
int spread(int argc, char **argv);

/// Prints the resource usage of processes, since their start or over a given time. Returns an exit code.
int usage(int argc, char **argv);

/// Reads measured points, fits a line to each series and prints points and fits as JSON. Returns an exit code.
int summary(int argc, char **argv);

} // namespace cowsliphead::benchcommands
