// Purpose: errors that end a command.
#ifndef FESCUEVANE_CTL_CTL_ERROR_HPP
#define FESCUEVANE_CTL_CTL_ERROR_HPP

#include "ctl/exit_code.hpp"

#include <stdexcept>
#include <string>

namespace fescuevane::ctl
{

// Ends the command with `code_` after its message was printed.
class ctl_error : public std::runtime_error
{
public:
    ctl_error(exit_code code, std::string const& message)
        : std::runtime_error(message), code_(code)
    {
    }

    exit_code code() const { return code_; }

private:
    exit_code code_;
};

} // namespace fescuevane::ctl

#endif
