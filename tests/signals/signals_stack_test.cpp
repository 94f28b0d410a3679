// Purpose: tests of the stack that a fatal signal leaves on standard error.
#include <doctest/doctest.h>
#include <gio/gio.h>
#include <csignal>
#include <sstream>
#include <string>
#include <vector>

namespace fescuevane
{
namespace
{

struct signals_fixture
{
    std::string output_; // both streams of the last program
    int         signal_ = 0;

    // Runs a program to its end.
    void run(std::vector<std::string> const& arguments)
    {
        std::vector<char const*> words;
        words.reserve(arguments.size() + 1);
        for (std::string const& word : arguments)
        {
            words.push_back(word.c_str());
        }
        words.push_back(nullptr);
        GError*            error = nullptr;
        GSubprocess* const program = g_subprocess_newv(
            words.data(),
            static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE |
                                          G_SUBPROCESS_FLAGS_STDERR_MERGE),
            &error);
        REQUIRE(program != nullptr);
        char* text = nullptr;
        REQUIRE(g_subprocess_communicate_utf8(program, nullptr, nullptr, &text,
                                              nullptr, &error) != FALSE);
        output_ = text;
        g_free(text);
        signal_ = g_subprocess_get_if_signaled(program) != FALSE
                      ? g_subprocess_get_term_sig(program)
                      : 0;
        g_object_unref(program);
    }

    void fault(std::string const& kind) { run({FAULT_PROGRAM, kind}); }

    [[nodiscard]] bool has(std::string const& text) const
    {
        return output_.find(text) != std::string::npos;
    }

    // Names the functions of the executable's frames.
    void resolve()
    {
        std::string const mark = "for addr2line:";
        std::size_t const place = output_.find(mark);
        REQUIRE(place != std::string::npos);
        std::istringstream       addresses(output_.substr(place + mark.size()));
        std::vector<std::string> arguments = {"addr2line", "-f", "-e",
                                              FAULT_PROGRAM};
        for (std::string address; addresses >> address;)
        {
            arguments.push_back(address);
        }
        run(arguments);
    }
};

// Guards against a process that ends by a fault and leaves no trace of its
// place.
TEST_CASE_FIXTURE(signals_fixture,
                  "process, writes to null, stack names the function")
{
    fault("null");
    CHECK(signal_ == SIGSEGV);
    CHECK(has("fatal signal SIGSEGV, address 0x0\n"));
    resolve();
    CHECK(has("write_to_null"));
}

// Guards against a handler that works only in the thread that registered it:
// the threads of libraries fault, too.
TEST_CASE_FIXTURE(signals_fixture,
                  "other thread, writes to null, stack names the function")
{
    fault("thread");
    CHECK(signal_ == SIGSEGV);
    resolve();
    CHECK(has("write_to_null"));
}

// Guards against a handler that needs the stack that has just overflowed.
TEST_CASE_FIXTURE(signals_fixture,
                  "process, stack overflows, stack names the function")
{
    fault("overflow");
    CHECK(signal_ == SIGSEGV);
    resolve();
    CHECK(has("overflow_stack"));
}

// Guards against a process that goes on after a failed assertion.
TEST_CASE_FIXTURE(signals_fixture, "process, aborts, ends by the signal")
{
    fault("abort");
    CHECK(signal_ == SIGABRT);
    CHECK(has("fatal signal SIGABRT"));
}

} // namespace
} // namespace fescuevane
