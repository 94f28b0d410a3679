// Purpose: counters and latency histograms of a process, as text.
#ifndef FESCUEVANE_IO_MEASURES_HPP
#define FESCUEVANE_IO_MEASURES_HPP

#include <cstdint>
#include <memory>
#include <string>

namespace fescuevane::io
{

// Names follow the Prometheus text format; a name may carry labels.
class measures
{
public:
    measures();
    ~measures();
    measures(measures const&) = delete;
    measures& operator=(measures const&) = delete;

    void        count(std::string const& name, std::uint64_t by = 1);
    void        set(std::string const& name, double value);
    void        observe(std::string const& name, std::int64_t micros);
    std::string write() const;

private:
    struct tables;
    std::unique_ptr<tables> tables_;
};

} // namespace fescuevane::io

#endif
