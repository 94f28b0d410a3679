// Purpose: client of a target stand-in's control.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_CONTROL_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_CONTROL_HPP

#include "core/ids.hpp"
#include "tests/stand_ins/target_status.hpp"
#include "tests/stand_ins/target_switches.hpp"

#include <memory>
#include <string>
#include <vector>

namespace fescuevane::stand_ins
{

// Each call waits for the reply, at most 5 s, and throws control_error. No
// targets named: all targets of the process.
class target_control
{
public:
    using targets = std::vector<target_id>;

    explicit target_control(std::string const& address); // IP and port
    ~target_control();

    void set_switches(targets const& names, target_switches const& value);
    void crash(targets const& names); // new incarnation, tasks gone
    void drop_streams(targets const& names);
    std::vector<target_status> list_status();

private:
    struct stub;
    std::unique_ptr<stub> stub_;
};

} // namespace fescuevane::stand_ins

#endif
