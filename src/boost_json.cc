// Compiles the header-only sources of Boost.JSON once.
#include <boost/json/src.hpp>
