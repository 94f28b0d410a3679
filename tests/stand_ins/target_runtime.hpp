// Purpose: runs the targets of one process: passes messages to their contexts,
// runs their ticks when something arrives or is due, and passes on the output.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_RUNTIME_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_RUNTIME_HPP

#include "core/instant.hpp"
#include "tests/stand_ins/history_log.hpp"
#include "tests/stand_ins/host.hpp"
#include "tests/stand_ins/target_context.hpp"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

namespace fescuevane::v1
{
class OwnerBatch;
} // namespace fescuevane::v1

namespace fescuevane::stand_ins
{

class target_stream;

class target_runtime
{
public:
    target_runtime(std::vector<host> const& hosts,
                   std::int64_t usage_lag_micros, std::string const& history);

    // Streams
    std::uint64_t open_stream(target_stream& stream); // numbers it, from 1
    void          close_stream(std::size_t target, std::uint64_t stream);
    void          post_batch(std::size_t target, std::uint64_t stream,
                             v1::OwnerBatch const& message); // wire::decode_error

    // Control: calls `change` for each named target, for all without names.
    using change_function = std::function<void(target_context&, instant)>;
    void change_targets(std::vector<std::string> const& names,
                        change_function const&          change);

private:
    void    run_timers(std::stop_token const& stop);
    void    run_target(target_context& context);
    void    send_output(target_context& context);
    instant earliest_deadline() const;

    std::mutex                              mutex_; // guards what follows
    std::condition_variable_any             changed_;
    history_log                             history_;
    std::vector<target_context>             targets_;
    std::map<std::uint64_t, target_stream*> streams_;
    std::uint64_t                           last_stream_ = 0;
    instant                                 wake_up_ = instant::never();
    std::jthread                            timers_; // last: uses the rest
};

} // namespace fescuevane::stand_ins

#endif
