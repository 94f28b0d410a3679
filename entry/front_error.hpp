// Purpose: error: the front end can't serve.
#ifndef FESCUEVANE_ENTRY_FRONT_ERROR_HPP
#define FESCUEVANE_ENTRY_FRONT_ERROR_HPP

#include <stdexcept>

namespace fescuevane::entry
{

class front_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::entry

#endif
