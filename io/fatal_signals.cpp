// Purpose: stack traces of fatal signals on standard error.
//
// Index of sections
//   1. Executable
//   2. Lines
//   3. Handler
#include "io/fatal_signals.hpp"

#include <elf.h>
#include <execinfo.h>
#include <link.h>
#include <unistd.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fescuevane::io
{
namespace
{

struct signal_name
{
    int              number_;
    std::string_view name_;
};

constexpr std::array<signal_name, 5> fatal_signals = {{
    {SIGSEGV, "SIGSEGV"},
    {SIGBUS, "SIGBUS"},
    {SIGILL, "SIGILL"},
    {SIGFPE, "SIGFPE"},
    {SIGABRT, "SIGABRT"},
}};

constexpr int         max_frames = 64;
constexpr std::size_t stack_bytes = 64 * 1024;

// 1. Executable

// Where the executable was loaded; set before a handler is.
struct loaded_range
{
    std::uintptr_t base_ = 0;
    std::uintptr_t end_ = 0;
};

loaded_range executable;

// The first object is the executable.
int read_first_object(dl_phdr_info* object, std::size_t /*size*/, void* range)
{
    auto& found = *static_cast<loaded_range*>(range);
    found.base_ = object->dlpi_addr;
    for (int row = 0; row < object->dlpi_phnum; ++row)
    {
        auto const& segment = object->dlpi_phdr[row];
        if (segment.p_type == PT_LOAD)
        {
            found.end_ = std::max<std::uintptr_t>(
                found.end_,
                object->dlpi_addr + segment.p_vaddr + segment.p_memsz);
        }
    }
    return 1;
}

// 2. Lines

// A line of bounded length without allocation.
class line
{
public:
    void add(std::string_view text)
    {
        std::size_t const count =
            std::min(text.size(), bytes_.size() - size_ - 1);
        std::copy_n(text.begin(), count, bytes_.begin() + size_);
        size_ += count;
    }

    void add_hex(std::uintptr_t value)
    {
        constexpr std::string_view         digits = "0123456789abcdef";
        constexpr int                      digit_bits = 4;
        std::array<char, 2 * sizeof value> text{};
        auto                               first = text.end();
        do
        {
            *--first = digits[value % digits.size()];
            value >>= digit_bits;
        } while (value != 0);
        add("0x");
        add({first, static_cast<std::size_t>(text.end() - first)});
    }

    void write()
    {
        bytes_.at(size_++) = '\n';
        // Nothing can be done about a failure.
        [[maybe_unused]] ssize_t const written =
            ::write(STDERR_FILENO, bytes_.data(), size_);
        size_ = 0;
    }

private:
    std::array<char, 1400> bytes_{}; // holds the addresses of all frames
    std::size_t            size_ = 0;
};

// 3. Handler

void write_stack(int number, siginfo_t* info, void* /*context*/)
{
    line text;
    text.add("fatal signal ");
    auto const* const known =
        std::find_if(fatal_signals.begin(), fatal_signals.end(),
                     [number](signal_name const& row)
                     {
                         return row.number_ == number;
                     });
    text.add(known->name_);
    text.add(", address ");
    text.add_hex(reinterpret_cast<std::uintptr_t>(info->si_addr));
    text.write();

    std::array<void*, max_frames> frames{};
    int const                     count = backtrace(frames.data(), max_frames);
    backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);

    text.add("for addr2line:");
    for (int row = 0; row < count; ++row)
    {
        auto const address = reinterpret_cast<std::uintptr_t>(frames.at(row));
        if (address >= executable.base_ && address < executable.end_)
        {
            text.add(" ");
            text.add_hex(address - executable.base_);
        }
    }
    text.write();

    // The default action is in force again and is taken when this returns.
    std::raise(number);
}

} // namespace

void write_stack_on_fatal_signals()
{
    dl_iterate_phdr(&read_first_object, &executable);

    // The first call loads a library and allocates.
    std::array<void*, 1> frames{};
    backtrace(frames.data(), 1);

    // An overflow leaves no room for the handler on the thread's own stack.
    static std::array<std::byte, stack_bytes> stack;
    stack_t                                   alternate = {};
    alternate.ss_sp = stack.data();
    alternate.ss_size = stack.size();
    sigaltstack(&alternate, nullptr);

    struct sigaction action = {};
    action.sa_sigaction = &write_stack;
    action.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
    sigemptyset(&action.sa_mask);
    for (signal_name const& row : fatal_signals)
    {
        sigaction(row.number_, &action, nullptr);
    }
}

} // namespace fescuevane::io
