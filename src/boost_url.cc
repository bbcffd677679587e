// Boost.URL is compiled here once, as part of this project.
#include <boost/url/src.hpp>
