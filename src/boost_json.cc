// Compiles Boost.JSON once, from its headers.
#include <boost/json/src.hpp>
