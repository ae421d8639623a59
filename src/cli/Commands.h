// The subcommands of sapphirectl.
#pragma once

#include "cli/CommandLine.h"
#include "cli/ControlClient.h"
#include "cli/ExitCode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace sapphiredale::cli {

/// Runs one command. Results go to out; warnings, refusals and errors go to err.
ExitCode runCommand(const Invocation&, const HttpFunction&, std::ostream& out, std::ostream& err);

/// Entry point of the program: arguments without the program's name, HTTP over the network.
int runProgram(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace sapphiredale::cli
