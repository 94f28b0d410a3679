// Purpose: the processes of one cell, started and stopped by the test.
#ifndef FESCUEVANE_TESTS_PROVE_CELL_HPP
#define FESCUEVANE_TESTS_PROVE_CELL_HPP

#include "tests/prove/entry_table.hpp"
#include "tests/prove/run_options.hpp"
#include "tests/prove/target_capacity.hpp"
#include "tests/stand_ins/platform_control.hpp"
#include "tests/stand_ins/relay_control.hpp"
#include "tests/stand_ins/target_control.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescuevane::prove
{

// Three failure domains with two entry processes and four targets each. Links
// of entry processes to the platform and to peers of other failure domains go
// through the relay. Uses the default main context.
class cell
{
public:
    // Writes the files and starts the stand-ins. Throws std::runtime_error.
    explicit cell(run_options const& options);
    ~cell(); // ends what is left
    cell(cell const&) = delete;
    cell& operator=(cell const&) = delete;

    void start_entry(std::size_t row);
    void signal_entry(std::size_t row, int signal);
    void cut_domain(std::string const& domain);
    void heal_domain(std::string const& domain);
    void stop_stand_ins();

    stand_ins::platform_control& platform() { return *platform_; }
    stand_ins::target_control&   targets_of(std::string const& domain)
    {
        return *target_controls_.at(domain);
    }

    entry_table                            entries_;
    std::map<std::string, target_capacity> targets_;
    std::map<std::string, std::string>     target_domains_;
    std::vector<std::string>               histories_; // files

    // Called from the main loop when an entry process has ended. The code is
    // below 0 after a signal.
    std::function<void(std::size_t row, int code)> on_exit_;

private:
    struct exit_watch;

    GSubprocess* spawn(std::string const&              log,
                       std::vector<std::string> const& arguments);
    void         write_hosts();
    void         write_links();
    void         write_settings(std::size_t row);
    void         start_stand_ins();
    static void  end_watch(GObject* process, GAsyncResult* result, gpointer);

    run_options const                  options_;
    std::string                        platform_address_;
    std::map<std::string, std::string> platform_links_; // domain: address
    std::map<std::string, std::string> peer_links_; // "domain>entry": address
    std::map<std::string, std::string> target_control_addresses_;
    std::string                        relay_address_;
    std::vector<std::string>           relay_lines_;
    std::vector<GSubprocess*>          stand_ins_;
    std::unique_ptr<stand_ins::platform_control> platform_;
    std::unique_ptr<stand_ins::relay_control>    relay_;
    std::map<std::string, std::unique_ptr<stand_ins::target_control>>
        target_controls_;
};

// Ends at once when the condition holds; throws std::runtime_error with `what`
// after the limit. Runs the default main context meanwhile.
void wait_until(std::function<bool()> const& condition,
                std::int64_t limit_micros, std::string const& what);

std::vector<std::string> const& list_domains();

} // namespace fescuevane::prove

#endif
