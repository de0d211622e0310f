#pragma once

namespace cowsliphead::commands
{

/// Runs a daemon, with --embedded together with stand-ins for the services that it uses. Returns an exit code.
int serve(int argc, char **argv);

/// Runs a gateway on the users' platform. Returns an exit code.
int gateway(int argc, char **argv);

/// Prints what the logs contain about a request. Returns an exit code.
int explain(int argc, char **argv);

/// Checks a settings file. Returns an exit code.
int config(int argc, char **argv);

/// Writes, withdraws and shows records. Returns an exit code.
int record(int argc, char **argv);

/// Runs a simulation in virtual time. Returns an exit code.
int experiment(int argc, char **argv);

/// Creates an API key. Returns an exit code.
int key(int argc, char **argv);

/// Shows the record revision of each daemon. Returns an exit code.
int status(int argc, char **argv);

/// Runs a stand-in. Returns an exit code.
int standin(int argc, char **argv);

/// Runs a benchmark of daemons on the loopback address. Returns an exit code.
int bench(int argc, char **argv);

} // namespace cowsliphead::commands
