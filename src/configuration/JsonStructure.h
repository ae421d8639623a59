// Structural check of a JSON text before it is read into memory.
#pragma once

#include "configuration/FileErrorList.h"

#include <cstddef>
#include <string_view>

namespace sapphiredale::configuration {

/// Verifies syntax, depth, number of values and that no object has the same member twice, which the JSON library would
/// silently resolve in favour of the last one. Returns false when the text cannot be read at all; duplicate members are
/// added to the errors and do not end the check.
bool checkJsonStructure(std::string_view text, std::size_t maxDepth, std::size_t maxValues, FileErrorList&);

} // namespace sapphiredale::configuration
