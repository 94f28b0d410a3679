// Purpose: client of the link relay's control.
#ifndef FESCUEVANE_TESTS_STAND_INS_RELAY_CONTROL_HPP
#define FESCUEVANE_TESTS_STAND_INS_RELAY_CONTROL_HPP

#include <cstdint>
#include <string>

namespace fescuevane::stand_ins
{

// Each call waits for the reply, at most 5 s, and throws control_error. A call
// may name several groups, with a comma between them.
class relay_control
{
public:
    explicit relay_control(std::string address); // IP and port

    void cut(std::string const& group);         // silence in both directions
    void cut_outward(std::string const& group); // silence from the caller
    void cut_inward(std::string const& group);  // silence to the caller
    void heal(std::string const& group);        // what was held back goes on
    void reset(std::string const& group);       // closes its open connections
    void set_delay(std::string const& group, std::int64_t micros); // one way

private:
    void send_line(std::string const& line) const;

    std::string const address_;
};

} // namespace fescuevane::stand_ins

#endif
