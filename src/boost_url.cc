// Compiles the header-only sources of Boost.URL once.
#include <boost/url/src.hpp>
