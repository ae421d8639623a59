// Command line tool of the operators.

#include "cli/Commands.h"

#include <iostream>

int main(int argc, char** argv)
{
    return sapphiredale::cli::runProgram({ argv + 1, argv + argc }, std::cout, std::cerr);
}
