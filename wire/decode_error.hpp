// Purpose: the error type of the codecs.
#ifndef FESCUEVANE_WIRE_DECODE_ERROR_HPP
#define FESCUEVANE_WIRE_DECODE_ERROR_HPP

#include <stdexcept>
#include <string>
#include <utility>

namespace fescuevane::wire
{

// A message has a field that is missing, malformed or out of bounds.
class decode_error : public std::runtime_error
{
public:
    decode_error(std::string field, std::string const& expected)
        : std::runtime_error(field + ": " + expected), field_(std::move(field))
    {
    }

    std::string const& field() const { return field_; } // "spec.task_count"

private:
    std::string field_;
};

} // namespace fescuevane::wire

#endif
