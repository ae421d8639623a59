// Exit codes of sapphirectl; the help text and docs/CONFIGURATION.md list them.
#pragma once

namespace sapphiredale::cli {

enum class ExitCode : int {
    Ok = 0,
    /// The daemon or the validation refused; nothing was changed by this command.
    Refused = 1,
    /// Wrong arguments, or a file that cannot be read.
    Usage = 2,
    /// No connection to the daemon, or no answer to a read; nothing was changed.
    CannotConnect = 3,
    /// The request may have taken effect.
    OutcomeUnknown = 4,
    /// No such task, record or file.
    NotFound = 5,
};

} // namespace sapphiredale::cli
