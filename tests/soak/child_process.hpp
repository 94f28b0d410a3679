// Purpose: one program that the soak runs.
#ifndef FESCUEVANE_TESTS_SOAK_CHILD_PROCESS_HPP
#define FESCUEVANE_TESTS_SOAK_CHILD_PROCESS_HPP

#include <gio/gio.h>
#include <string>
#include <vector>

namespace fescuevane::soak
{

// Ends with the soak, also when the soak is killed.
class child_process
{
public:
    // Output goes to the end of `log`. Throws std::runtime_error when the
    // program can't start.
    child_process(std::vector<std::string> const& arguments,
                  std::string const&              log);
    ~child_process(); // kills it
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    void send_signal(int number);
    bool is_running() const { return running_; }
    // How it ended, for logs.
    std::string describe_end() const;

private:
    static void on_exit(GObject* process, GAsyncResult* result, void* own);

    GSubprocess*  process_;
    GCancellable* cancel_;
    bool          running_ = true;
};

} // namespace fescuevane::soak

#endif
