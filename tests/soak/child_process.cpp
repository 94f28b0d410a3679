// Purpose: one program that the soak runs.
#include "tests/soak/child_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <csignal>
#include <stdexcept>

namespace fescuevane::soak
{
namespace
{

void end_with_parent(void* /*unused*/)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

} // namespace

child_process::child_process(std::vector<std::string> const& arguments,
                             std::string const&              log)
    : cancel_(g_cancellable_new())
{
    GSubprocessLauncher* const launcher =
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
    constexpr int mode = 0644;
    int const     output =
        open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode);
    if (output >= 0)
    {
        g_subprocess_launcher_take_stdout_fd(launcher, output);
    }
    g_subprocess_launcher_setenv(launcher, "GSETTINGS_BACKEND", "memory", TRUE);
    g_subprocess_launcher_setenv(launcher, "GIO_USE_PROXY_RESOLVER", "dummy",
                                 TRUE);
    g_subprocess_launcher_set_child_setup(launcher, &end_with_parent, nullptr,
                                          nullptr);
    std::vector<char const*> words;
    words.reserve(arguments.size() + 1);
    for (std::string const& word : arguments)
    {
        words.push_back(word.c_str());
    }
    words.push_back(nullptr);
    GError* error = nullptr;
    process_ = g_subprocess_launcher_spawnv(launcher, words.data(), &error);
    g_object_unref(launcher);
    if (process_ == nullptr)
    {
        std::string const reason = error->message;
        g_error_free(error);
        g_object_unref(cancel_);
        throw std::runtime_error(reason);
    }
    g_subprocess_wait_async(process_, cancel_, &child_process::on_exit, this);
}

child_process::~child_process()
{
    g_cancellable_cancel(cancel_);
    if (running_)
    {
        g_subprocess_force_exit(process_);
        g_subprocess_wait(process_, nullptr, nullptr);
    }
    g_object_unref(process_);
    g_object_unref(cancel_);
}

void child_process::on_exit(GObject* process, GAsyncResult* result, void* own)
{
    // When the wait was cancelled, the object is gone.
    if (g_subprocess_wait_finish(G_SUBPROCESS(process), result, nullptr) !=
        FALSE)
    {
        static_cast<child_process*>(own)->running_ = false;
    }
}

void child_process::send_signal(int number)
{
    if (running_)
    {
        g_subprocess_send_signal(process_, number);
    }
}

std::string child_process::describe_end() const
{
    if (running_)
    {
        return "running";
    }
    return g_subprocess_get_if_exited(process_) != FALSE
               ? "exit " +
                     std::to_string(g_subprocess_get_exit_status(process_))
               : "signal " +
                     std::to_string(g_subprocess_get_term_sig(process_));
}

} // namespace fescuevane::soak
