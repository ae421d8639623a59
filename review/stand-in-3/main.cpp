// Plays one case: cell3 CASE FOLDER RECORD TROUBLE. Ends with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.

#include "Cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    using namespace review;
    const std::map<std::string, int (*)(const CaseInput&)> cases {
        { "one-occurrence", playOneOccurrence },
        { "gang-after-restart", playGangAfterRestart },
    };
    constexpr int couldNotRun = 2;
    const auto found = argc == 5 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: cell3 CASE FOLDER RECORD TROUBLE\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    int result = couldNotRun;
    try {
        result = found->second({ argv[2], argv[3], std::string(argv[4]) != "0" });
    } catch (const std::exception& error) {
        std::cerr << "cell3: " << error.what() << '\n';
    }
    std::cout.flush();
    // Threads of connections may still wait for their clients.
    std::_Exit(result);
}
