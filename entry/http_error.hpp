// Purpose: error: a call is answered with an error status.
#ifndef FESCUEVANE_ENTRY_HTTP_ERROR_HPP
#define FESCUEVANE_ENTRY_HTTP_ERROR_HPP

#include <stdexcept>
#include <string>

namespace fescuevane::entry
{

// `what()` is the message for the caller and names the place in the input.
class http_error : public std::runtime_error
{
public:
    http_error(unsigned status, std::string const& message)
        : std::runtime_error(message), status_(status)
    {
    }

    unsigned status() const { return status_; }

private:
    unsigned status_;
};

} // namespace fescuevane::entry

#endif
