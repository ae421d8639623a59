// The JSON library, built from its headers.

#include <boost/json/src.hpp>
