// Purpose: error: the settings file can't be used.
#ifndef FESCUEVANE_ENTRY_SETTINGS_ERROR_HPP
#define FESCUEVANE_ENTRY_SETTINGS_ERROR_HPP

#include <stdexcept>

namespace fescuevane::entry
{

// `what()` lists every fault found, one a line: file, line, key, expectation.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace fescuevane::entry

#endif
