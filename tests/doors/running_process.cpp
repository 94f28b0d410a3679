// Purpose: a process of the system as /proc shows it.
#include "tests/doors/running_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace fescuevane::doors
{
namespace
{

pid_t start(std::vector<std::string> const& arguments)
{
    std::vector<char*> words;
    words.reserve(arguments.size() + 1);
    for (std::string const& word : arguments)
    {
        words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    pid_t const id = fork();
    if (id == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const none = open("/dev/null", O_WRONLY | O_CLOEXEC);
        dup2(none, STDOUT_FILENO);
        execv(words[0], words.data());
        _exit(127);
    }
    return id;
}

} // namespace

running_process::running_process(std::vector<std::string> const& arguments)
    : id_(start(arguments))
{
}

running_process::~running_process()
{
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
}

// A process that ended stays a zombie until it is waited for.
bool running_process::is_alive() const
{
    siginfo_t state = {};
    return waitid(P_PID, static_cast<id_t>(id_), &state,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           state.si_pid == 0;
}

std::size_t running_process::descriptors() const
{
    std::error_code error;
    auto const      folder = std::filesystem::directory_iterator(
             "/proc/" + std::to_string(id_) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

std::size_t running_process::read(std::string const& field) const
{
    std::ifstream status("/proc/" + std::to_string(id_) + "/status");
    std::string   word;
    std::size_t   kib = 0;
    while (status >> word)
    {
        if (word == field)
        {
            status >> kib;
        }
    }
    return kib;
}

} // namespace fescuevane::doors
