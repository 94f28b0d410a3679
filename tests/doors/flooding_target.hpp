// Purpose: a target whose answers are far over their size.
#ifndef FESCUEVANE_TESTS_DOORS_FLOODING_TARGET_HPP
#define FESCUEVANE_TESTS_DOORS_FLOODING_TARGET_HPP

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace fescuevane::doors
{

// What is sent in answer to anything that arrives: `head_`, then `units_` times
// `unit_`.
struct flooding_answer
{
    std::string const head_;
    std::string const unit_;
    std::size_t const units_ = 0;
};

class flooding_target
{
public:
    flooding_target(std::string const& address, flooding_answer const& answer);
    ~flooding_target();
    flooding_target(flooding_target const&) = delete;
    flooding_target& operator=(flooding_target const&) = delete;

    // Answers that were sent as a whole or cut off by the caller.
    [[nodiscard]] std::size_t count_answers() const { return answers_; }

private:
    void accept_connections();
    void serve(int socket);

    flooding_answer const    answer_;
    int const                listening_;
    std::atomic<bool>        ending_ = false;
    std::atomic<std::size_t> answers_ = 0;
    std::vector<std::thread> connections_; // of `acceptor_`
    std::thread              acceptor_;
};

} // namespace fescuevane::doors

#endif
